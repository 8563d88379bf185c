package dnsfront

import "encoding/binary"

// Offsets and masks of the header of a message (RFC 1035, 4.1.1).
const (
	headerSize               = 12 // bytes
	flagsOffset              = 2
	rcodeOffset              = 3
	questionCountOffset      = 4
	responseFlag        byte = 0x80
	truncatedFlag       byte = 0x02
	opcodeShift              = 3
	opcodeMask               = 0xf
	rcodeMask                = 0xf // the lower bits of the response code; an OPT record holds the others
)

func headerID(raw []byte) uint16 { return binary.BigEndian.Uint16(raw) }

func setID(raw []byte, id uint16) { binary.BigEndian.PutUint16(raw, id) }

func isResponse(raw []byte) bool { return raw[flagsOffset]&responseFlag != 0 }

// isTruncated reports whether an answer was truncated, so that its query must be sent again over TCP.
func isTruncated(raw []byte) bool { return raw[flagsOffset]&truncatedFlag != 0 }

func headerOpcode(raw []byte) int { return int(raw[flagsOffset]>>opcodeShift) & opcodeMask }

func headerRcode(raw []byte) int { return int(raw[rcodeOffset]) & rcodeMask }

func questionCount(raw []byte) uint16 { return binary.BigEndian.Uint16(raw[questionCountOffset:]) }
