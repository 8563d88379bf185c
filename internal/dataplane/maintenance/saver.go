package maintenance

import (
	"log/slog"
	"sync"
)

// saver saves the overrides on a goroutine of its own, so that no update waits for the disk while an earlier one is
// saved. Changes that are made during a save are saved together by the next one. It is safe for concurrent use.
type saver struct {
	store     Store
	overrides func() []Override // returns what is to be saved
	log       *slog.Logger

	mu     sync.Mutex
	saving bool
	next   chan struct{} // closed when the requested save has ended; nil if none is requested
	latest chan struct{} // the same for the save that was requested last, which may have ended
}

func newSaver(store Store, overrides func() []Override, log *slog.Logger) *saver {
	ended := make(chan struct{})
	close(ended)
	return &saver{store: store, overrides: overrides, log: log, latest: ended}
}

// request requests a save of the present overrides. ended is closed when that save has ended, even if it failed.
func (s *saver) request() (ended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
		s.latest = s.next
	}
	if !s.saving {
		s.saving = true
		go s.run()
	}
	return s.next
}

// pending returns a channel that is closed once all saves that were requested so far have ended.
func (s *saver) pending() (ended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// run saves until no further save is requested.
func (s *saver) run() {
	for {
		ended := s.begin()
		if ended == nil {
			return
		}
		if err := s.store.Save(s.overrides()); err != nil {
			s.log.Error("the overrides are in effect but cannot be saved", "error", err)
		}
		close(ended)
	}
}

// begin returns the channel of the requested save, or nil if none is requested: then the saver's goroutine ends.
func (s *saver) begin() (ended chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended, s.next = s.next, nil
	s.saving = ended != nil
	return ended
}
