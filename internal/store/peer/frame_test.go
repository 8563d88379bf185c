package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func TestReadFrameDetectsTruncationAndBitFlips(t *testing.T) {
	complete := appendFrame(nil, kindMessage, []byte("what was sent"))
	kind, b, err := readFrame(bytes.NewReader(complete), 100)
	if err != nil || kind != kindMessage || string(b) != "what was sent" {
		t.Fatal(kind, b, err)
	}
	for position := range complete {
		if _, _, err := readFrame(bytes.NewReader(complete[:position]), 100); err == nil {
			t.Fatalf("readFrame accepted a frame that is truncated at byte %d", position)
		}
		b := bytes.Clone(complete)
		b[position] ^= 4
		if _, _, err := readFrame(bytes.NewReader(b), 100); err == nil {
			t.Fatalf("readFrame accepted a frame with a flipped bit in byte %d", position)
		}
	}
	if _, _, err := readFrame(bytes.NewReader(complete), 5); !errors.Is(err, ErrInvalidFrame) {
		t.Fatal(err)
	}
}

// On any input, readFrame returns frames that the input contains, and then an error of the documented kinds.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, kindHello, []byte("x")))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := bytes.NewReader(input)
		for {
			kind, payload, err := readFrame(r, 1<<20)
			if err != nil {
				if !errors.Is(err, ErrInvalidFrame) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatal(err)
				}
				return
			}
			if encoded := appendFrame(nil, kind, payload); !bytes.Contains(input, encoded) {
				t.Fatal("readFrame returned a frame that the input does not contain")
			}
		}
	})
}
