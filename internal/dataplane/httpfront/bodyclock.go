package httpfront

import "birchmoor/balancer"

const (
	// maxSocketBytes is how far a client's writes may be ahead of this process's reads, in the buffers of both sockets.
	maxSocketBytes = 8 << 20
	markBytes      = 1 << 20 // between two marks of a bodyClock
)

// bodyClock estimates when a client may have written the last byte of a body, from which its time for the answer
// counts. While an endpoint takes the body more slowly than the client writes it, the rest lies in the sockets'
// buffers, and that byte is seen long after it was written.
type bodyClock struct {
	length       int64           // of the body; -1 if unknown
	read         int64           // bytes read so far
	unfinishedAt balancer.Micros // latest time at which the client is known not to have written the last byte
	marks        []bodyMark
}

// bodyMark is the number of bytes that had been read at a time.
type bodyMark struct {
	at   balancer.Micros
	read int64
}

func newBodyClock(now balancer.Micros, length int64) bodyClock {
	return bodyClock{length: length, unfinishedAt: now, marks: []bodyMark{{at: now}}}
}

// add records that n bytes were read by now. waited reports whether the read found nothing at first: the client had not
// written these bytes shortly before.
func (b *bodyClock) add(now balancer.Micros, n int, waited bool) {
	b.read += int64(n)
	if waited || b.length-b.read > maxSocketBytes {
		b.unfinishedAt = now
	}
	for len(b.marks) > 0 && b.read-b.marks[0].read > maxSocketBytes {
		b.unfinishedAt = max(b.unfinishedAt, b.marks[0].at) // so much was not written yet at that time
		b.marks = b.marks[1:]
	}
	if last := len(b.marks) - 1; last < 0 || b.read-b.marks[last].read >= markBytes {
		b.marks = append(b.marks, bodyMark{now, b.read})
	}
}
