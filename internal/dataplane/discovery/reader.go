package discovery

import (
	"bytes"
	"errors"
	"io"
)

var errListTooLong = errors.New("the list is too long")

// listReader reads lists from discovery, notices whether data is within a list, and bounds the length of each.
type listReader struct {
	io.Reader
	onRead    func(inList bool) // called whenever data has come, and at the end of a list
	inList    bool
	remaining int // bytes that the current list may still take
}

// endList notes that a list is complete; buffered is what was read after it.
func (r *listReader) endList(buffered []byte) {
	wasInList := r.inList
	r.inList = len(bytes.TrimSpace(buffered)) > 0
	if wasInList {
		r.onRead(r.inList)
	}
}

// Read implements io.Reader. It returns errListTooLong for a list that is longer than allowed.
func (r *listReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errListTooLong
	}
	n, err := r.Reader.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	if n > 0 {
		r.inList = r.inList || len(bytes.TrimSpace(b[:n])) > 0
		r.onRead(r.inList)
	}
	return n, err
}
