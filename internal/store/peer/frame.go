package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame consists of its kind (one byte), the length of its payload (four bytes), the CRC-32C of kind and payload
// (four bytes), and the payload. Numbers are big-endian.

// frameKind is the first byte of a frame. It determines what the payload is.
type frameKind byte

const (
	kindHello        frameKind = 'h' // a Hello in CBOR
	kindHelloReply   frameKind = 'v' // a HelloReply in CBOR
	kindMessage      frameKind = 'm' // a message of raft in protobuf
	kindSnapshot     frameKind = 's' // the size of a snapshot's data, and raft's message without the data
	kindSnapshotPart frameKind = 'p' // a part of the data of the snapshot whose frame came before
)

const (
	frameHeaderBytes  = 9
	maxFrameBytes     = 24 << 20 // a message has 1 MiB of entries, or a single entry that is longer
	maxHelloBytes     = 4 << 10
	snapshotPartBytes = 256 << 10
	snapshotSizeBytes = 8        // length of the size at the start of a kindSnapshot payload
	minReadStepBytes  = 64 << 10 // readPayload grows its buffer by up to this much even if it is smaller
)

// ErrInvalidFrame reports received data that violates the protocol. The connection is closed.
var ErrInvalidFrame = errors.New("invalid frame from a store peer")

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(kind frameKind, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(kind)}, crcTable), crcTable, payload)
}

// appendFrame appends a frame to buf.
func appendFrame(buf []byte, kind frameKind, payload []byte) []byte {
	buf = append(buf, byte(kind))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, checksum(kind, payload))
	return append(buf, payload...)
}

// readFrame reads a frame whose payload has at most maxPayload bytes. It allocates memory as the bytes arrive, so that
// a large length alone does not cause a large allocation. The error wraps ErrInvalidFrame if the frame violates the
// protocol.
func readFrame(r io.Reader, maxPayload int) (frameKind, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	kind := frameKind(header[0])
	size, expectedChecksum := binary.BigEndian.Uint32(header[1:]), binary.BigEndian.Uint32(header[5:])
	switch kind {
	case kindHello, kindHelloReply, kindMessage, kindSnapshot, kindSnapshotPart:
	default:
		return 0, nil, fmt.Errorf("%w: unknown kind %#x", ErrInvalidFrame, header[0])
	}
	if int64(size) > int64(maxPayload) {
		return 0, nil, fmt.Errorf("%w: payload of %d bytes exceeds the limit of %d", ErrInvalidFrame, size, maxPayload)
	}
	payload, err := readPayload(r, int(size))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: payload is truncated: %w", ErrInvalidFrame, err)
	}
	if checksum(kind, payload) != expectedChecksum {
		return 0, nil, fmt.Errorf("%w: checksum mismatch", ErrInvalidFrame)
	}
	return kind, payload, nil
}

// readPayload reads size bytes. It grows its buffer in steps, each of which adds at most the bytes that have arrived or
// minReadStepBytes, whichever is more.
func readPayload(r io.Reader, size int) ([]byte, error) {
	var payload []byte
	for len(payload) < size {
		readBytes := len(payload)
		stepBytes := min(size-readBytes, max(minReadStepBytes, readBytes))
		payload = append(payload, make([]byte, stepBytes)...)
		if _, err := io.ReadFull(r, payload[readBytes:]); err != nil {
			return nil, err
		}
	}
	return payload, nil
}
