package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func TestReadFrameDetectsTruncationAndBitFlips(t *testing.T) {
	whole := appendFrame(nil, kindMessage, []byte("what was sent"))
	if k, b, err := readFrame(bytes.NewReader(whole), 100); err != nil || k != kindMessage || string(b) != "what was sent" {
		t.Fatal(k, b, err)
	}
	for n := range whole {
		if _, _, err := readFrame(bytes.NewReader(whole[:n]), 100); err == nil {
			t.Fatalf("cut at %d", n)
		}
		b := bytes.Clone(whole)
		b[n] ^= 4
		if _, _, err := readFrame(bytes.NewReader(b), 100); err == nil {
			t.Fatalf("flipped at %d", n)
		}
	}
	if _, _, err := readFrame(bytes.NewReader(whole), 5); !errors.Is(err, ErrInvalidFrame) {
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
				t.Fatal("it reads what was not there")
			}
		}
	})
}
