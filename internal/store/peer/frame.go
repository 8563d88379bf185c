package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame is its kind in a byte, the length of its payload in four, the CRC-32C of kind and payload in four, big
// endian, and the payload.
type frameKind byte

const (
	kindHello        frameKind = 'h' // who the sender is, CBOR
	kindHelloReply   frameKind = 'v' // whether it is heard, CBOR
	kindMessage      frameKind = 'm' // of raft, protobuf
	kindSnapshot     frameKind = 's' // of raft, without its snapshot's data, which follows in parts; eight bytes of length before it
	kindSnapshotPart frameKind = 'p'
)

const (
	frameHeaderBytes  = 9
	maxFrameBytes     = 24 << 20 // a message holds a megabyte of entries, or one entry that is longer
	maxHelloBytes     = 4 << 10
	snapshotPartBytes = 256 << 10
)

// ErrInvalidFrame says that what came is not of this protocol.
var ErrInvalidFrame = errors.New("not a frame of the store")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(k frameKind, b []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(k)}, crcTable), crcTable, b)
}

// appendFrame adds a frame to buf.
func appendFrame(buf []byte, k frameKind, payload []byte) []byte {
	buf = append(buf, byte(k))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, checksum(k, payload))
	return append(buf, payload...)
}

// readFrame reads one whose payload is at most so long. The memory is taken as the bytes come, so that a length alone
// costs nothing.
func readFrame(r io.Reader, most int) (frameKind, []byte, error) {
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	k, n := frameKind(head[0]), binary.BigEndian.Uint32(head[1:])
	switch k {
	case kindHello, kindHelloReply, kindMessage, kindSnapshot, kindSnapshotPart:
	default:
		return 0, nil, fmt.Errorf("%w: kind %#x", ErrInvalidFrame, head[0])
	}
	if int64(n) > int64(most) {
		return 0, nil, fmt.Errorf("%w: %d bytes, at most %d", ErrInvalidFrame, n, most)
	}
	var b []byte
	for have := 0; have < int(n); have = len(b) {
		step := min(int(n)-have, max(64<<10, have))
		b = append(b, make([]byte, step)...)
		if _, err := io.ReadFull(r, b[have:]); err != nil {
			return 0, nil, fmt.Errorf("%w: cut off: %w", ErrInvalidFrame, err)
		}
	}
	if checksum(k, b) != binary.BigEndian.Uint32(head[5:]) {
		return 0, nil, fmt.Errorf("%w: the checksum is another", ErrInvalidFrame)
	}
	return k, b, nil
}
