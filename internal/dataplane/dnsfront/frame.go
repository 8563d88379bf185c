package dnsfront

import (
	"encoding/binary"
	"io"
)

// frameHeaderSize is the size in bytes of the length that precedes each message over TCP (RFC 1035, 4.2.2).
const frameHeaderSize = 2

// appendFrame appends a message to b, preceded by its length.
func appendFrame(b, raw []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(raw)))
	return append(b, raw...)
}

// readFrame reads a message that is preceded by its length. The message is stored in buf if that is large enough, else
// in a new buffer.
func readFrame(r io.Reader, buf []byte) ([]byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return buf, err
	}
	size := int(binary.BigEndian.Uint16(header[:]))
	if cap(buf) < size {
		buf = make([]byte, size)
	}
	_, err := io.ReadFull(r, buf[:size])
	return buf[:size], err
}
