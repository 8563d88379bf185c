package discovery

import (
	"bytes"
	"errors"
	"io"
)

var errListTooLong = errors.New("endpoint list exceeds the size limit")

// listReader reads lists from a response of discovery. It tracks whether the data read so far ends within a list, and
// bounds the size of each list.
type listReader struct {
	io.Reader
	onRead    func(inList bool) // called after each read that returned data, and at the end of each list
	inList    bool              // whether the data read so far ends within a list
	remaining int               // how many more bytes the current list may have
}

// endList records that the decoder has read a complete list. buffered is the data that was read beyond it.
func (r *listReader) endList(buffered []byte) {
	wasInList := r.inList
	r.inList = len(bytes.TrimSpace(buffered)) > 0
	if wasInList {
		r.onRead(r.inList)
	}
}

// Read implements io.Reader. It returns errListTooLong once the current list exceeds its size limit.
func (r *listReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errListTooLong
	}
	n, err := r.Reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if n > 0 {
		r.inList = r.inList || len(bytes.TrimSpace(p[:n])) > 0
		r.onRead(r.inList)
	}
	return n, err
}
