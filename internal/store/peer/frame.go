package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame is its kind in one byte, the length of its payload in four, the CRC-32C of kind and payload in four, and the
// payload. Numbers are big endian.

// frameKind is the first byte of a frame.
type frameKind byte

const (
	kindHello        frameKind = 'h' // Hello in CBOR
	kindHelloReply   frameKind = 'v' // HelloReply in CBOR
	kindMessage      frameKind = 'm' // message of raft in protobuf
	kindSnapshot     frameKind = 's' // size of a snapshot's data, and message without them
	kindSnapshotPart frameKind = 'p' // of the data of the snapshot before it
)

const (
	frameHeaderBytes  = 9
	maxFrameBytes     = 24 << 20 // a message has a megabyte of entries, or a single entry that is longer
	maxHelloBytes     = 4 << 10
	snapshotPartBytes = 256 << 10
	snapshotSizeBytes = 8 // of the size in a frame of kindSnapshot
	minReadBytes      = 64 << 10
)

// ErrInvalidFrame reports data that do not follow the protocol.
var ErrInvalidFrame = errors.New("not a frame of the store")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(k frameKind, b []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(k)}, crcTable), crcTable, b)
}

// appendFrame appends a frame to buf.
func appendFrame(buf []byte, k frameKind, payload []byte) []byte {
	buf = append(buf, byte(k))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, checksum(k, payload))
	return append(buf, payload...)
}

// readFrame reads a frame whose payload has up to maxPayload bytes. Memory is allocated as the bytes arrive, so that a
// length alone allocates little. An error of a frame that does not follow the protocol wraps ErrInvalidFrame.
func readFrame(r io.Reader, maxPayload int) (frameKind, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	kind := frameKind(header[0])
	size, sum := binary.BigEndian.Uint32(header[1:]), binary.BigEndian.Uint32(header[5:])
	switch kind {
	case kindHello, kindHelloReply, kindMessage, kindSnapshot, kindSnapshotPart:
	default:
		return 0, nil, fmt.Errorf("%w: kind %#x", ErrInvalidFrame, header[0])
	}
	if int64(size) > int64(maxPayload) {
		return 0, nil, fmt.Errorf("%w: %d bytes, limit %d", ErrInvalidFrame, size, maxPayload)
	}
	payload, err := readPayload(r, int(size))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: truncated: %w", ErrInvalidFrame, err)
	}
	if checksum(kind, payload) != sum {
		return 0, nil, fmt.Errorf("%w: checksum mismatch", ErrInvalidFrame)
	}
	return kind, payload, nil
}

// readPayload reads size bytes into a buffer that no step more than doubles.
func readPayload(r io.Reader, size int) ([]byte, error) {
	var b []byte
	for len(b) < size {
		have := len(b)
		step := min(size-have, max(minReadBytes, have))
		b = append(b, make([]byte, step)...)
		if _, err := io.ReadFull(r, b[have:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}
