package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func TestReadFrameDetectsTruncationAndBitFlips(t *testing.T) {
	complete := appendFrame(nil, kindMessage, []byte("what was sent"))
	k, b, err := readFrame(bytes.NewReader(complete), 100)
	if err != nil || k != kindMessage || string(b) != "what was sent" {
		t.Fatal(k, b, err)
	}
	for n := range complete {
		if _, _, err := readFrame(bytes.NewReader(complete[:n]), 100); err == nil {
			t.Fatalf("truncated at %d", n)
		}
		b := bytes.Clone(complete)
		b[n] ^= 4
		if _, _, err := readFrame(bytes.NewReader(b), 100); err == nil {
			t.Fatalf("flipped at %d", n)
		}
	}
	if _, _, err := readFrame(bytes.NewReader(complete), 5); !errors.Is(err, ErrInvalidFrame) {
		t.Fatal(err)
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, kindHello, []byte("x")))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bytes.NewReader(b)
		for {
			k, p, err := readFrame(r, 1<<20)
			if err != nil {
				if !errors.Is(err, ErrInvalidFrame) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatal(err)
				}
				return
			}
			if again := appendFrame(nil, k, p); !bytes.Contains(b, again) {
				t.Fatal("a frame was read that is not in the input")
			}
		}
	})
}
