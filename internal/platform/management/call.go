package management

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxLineBytes is the maximum length of a line, including its end.
const maxLineBytes = 512

// Calls that operators can make.
const (
	callStatus           = "status"
	callStats            = "stats"
	callStartMaintenance = "maint-on"  // argument: ID of an endpoint
	callEndMaintenance   = "maint-off" // argument: ID of an endpoint
)

// Backend carries out operators' calls. Its methods must be safe for concurrent use.
type Backend interface {
	// Status returns nil if the process can serve, or the reason why it cannot.
	Status() error
	// Stats writes the metrics.
	Stats(w io.Writer) error
	// Maintain starts or ends the maintenance of an endpoint. It returns once that is in effect.
	Maintain(ctx context.Context, id string, start bool) error
}

// errMalformedLine is the error for a line that cannot be a call. It is answered, unlike errors of the connection.
var errMalformedLine = errors.New("malformed line")

// readLine reads the first line, which may end with the stream in place of a newline.
func readLine(r io.Reader) (string, error) {
	b := bufio.NewReaderSize(r, maxLineBytes)
	text, err := b.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return "", fmt.Errorf("%w: over %d bytes", errMalformedLine, maxLineBytes)
	case errors.Is(err, io.EOF) && len(text) > 0:
	case err != nil:
		return "", err
	}
	line := strings.TrimRight(string(text), "\r\n")
	if strings.ContainsFunc(line, func(r rune) bool { return r < ' ' || r > '~' }) {
		return "", fmt.Errorf("%w: not plain text", errMalformedLine)
	}
	return line, nil
}

// argCounts is how many arguments each call takes.
var argCounts = map[string]int{
	callStatus:           0,
	callStats:            0,
	callStartMaintenance: 1,
	callEndMaintenance:   1,
}

// execute carries out the call in a line and writes the answer.
func (s *Server) execute(ctx context.Context, w io.Writer, line string) {
	words := strings.Fields(line)
	if len(words) == 0 {
		answer(w, "NO empty line")
		return
	}
	call, args := words[0], words[1:]
	argCount, known := argCounts[call]
	if !known {
		answer(w, "NO unknown call")
		return
	}
	if len(args) != argCount {
		answer(w, "NO %s takes %d words, not %d", call, argCount, len(args))
		return
	}
	switch call {
	case callStatus:
		answerResult(w, s.backend.Status())
	case callStats:
		if err := s.backend.Stats(w); err == nil {
			answer(w, "END")
		}
	default:
		err := s.backend.Maintain(ctx, args[0], call == callStartMaintenance)
		s.log.Info("maintenance call", "call", call, "id", args[0], "error", err)
		answerResult(w, err)
	}
}

// answerResult answers YES, or NO with the error of a call.
func answerResult(w io.Writer, err error) {
	if err != nil {
		answer(w, "NO %v", err)
		return
	}
	answer(w, "YES")
}

// answer writes one line.
func answer(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...) // fails if the caller has closed, and then needs no answer
}
