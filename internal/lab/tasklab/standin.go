package tasklab

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"birchmoor/internal/controlplane/lease"
)

// Act is an action as the stand-in saw it.
type Act struct {
	Who   string
	Token uint64
	At    time.Duration // since the stand-in began, when it came
	Taken bool          // by the half that checks tokens
}

// Standin is the thing acted upon, in two halves that see the same actions: one checks tokens, the other lets all take effect.
type Standin struct {
	*httptest.Server
	begun time.Time
	fence *lease.Fence

	mu      sync.Mutex
	acts    int
	high    uint64         // the highest token that took effect at the half that checks nothing,
	last    time.Duration  // when it last did,
	pause   time.Duration  // the longest time between two that did, since calm was called
	holder  string         // and by whom
	slots   int            // that act at once
	taken   uint64         // the highest token that took effect at the half that checks
	stopped map[string]int // how often an actor was stopped by the bench: it may act late
	late    []Act          // that took effect at the half that checks nothing, after a higher token
	order   []Act          // that took effect at the half that checks, after a higher token
	gaps    []time.Duration
	changes []Change
}

// Change is when one holder's actions end and the next one's begin.
type Change struct {
	From, To uint64
	Last     time.Duration // action of the one before
	First    time.Duration // of the next
}

func newStandin(path string, plant lease.FenceDefect) (*Standin, error) {
	f, err := lease.OpenFence(path, plant)
	if err != nil {
		return nil, err
	}
	s := &Standin{begun: time.Now(), fence: f, stopped: map[string]int{}}
	s.Server = httptest.NewServer(s)
	return s, nil
}

// ServeHTTP takes an action. The one who acts hears whether it took effect where tokens are checked.
func (s *Standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	token, err := strconv.ParseUint(q.Get("token"), 10, 64)
	if err != nil {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Act{Who: q.Get("who"), Token: token, At: time.Since(s.begun)}
	a.Taken = s.fence.Admit("task", token) == nil
	s.acts++
	if a.Taken {
		if token < s.taken {
			s.order = append(s.order, a)
		}
		s.taken = max(s.taken, token)
	}
	switch {
	case token < s.high:
		s.late = append(s.late, a)
	case token > s.high:
		if s.high != 0 {
			s.gaps = append(s.gaps, a.At-s.last)
			s.changes = append(s.changes, Change{s.high, token, s.last, a.At})
		}
		s.high, s.holder = token, a.Who
	}
	if token == s.high {
		s.pause = max(s.pause, a.At-s.last)
		s.last = a.At
	}
	if !a.Taken {
		w.WriteHeader(http.StatusConflict)
	}
}

// mayBeLate notes that the bench stops an actor between any two of its instructions.
func (s *Standin) mayBeLate(who string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped[who]++
}

// now is the holder of the highest token that acted, and how many acts there were.
func (s *Standin) now() (holder string, token uint64, acts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder, s.high, s.acts
}

// calm begins to look for the longest time without an action.
func (s *Standin) calm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = 0
}

// paused is what it found.
func (s *Standin) paused() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pause
}

// top is the highest token that acted.
func (s *Standin) top() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.high
}

// judge says what was broken, and how many actions came late of those that the bench had stopped, or whose keepers say themselves that their
// host did not run them in time: no lease can prevent either.
func (s *Standin) judge(slow map[uint64]bool) (broken []string, late, starved int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.order {
		broken = append(broken, fmt.Sprintf("token order: %d of %s took effect at %v, after %d", a.Token, a.Who, a.At.Round(time.Millisecond), s.taken))
	}
	for _, a := range s.late {
		if s.stopped[a.Who] > 0 {
			late++
			continue
		}
		if slow[a.Token] {
			starved++
			continue
		}
		broken = append(broken, fmt.Sprintf("two at once: %s acted with token %d at %v, after a higher one had", a.Who, a.Token, a.At.Round(time.Millisecond)))
	}
	if len(broken) > 20 {
		broken = broken[:20]
	}
	return broken, late, starved
}

// Gaps are the times without an action from one holder to the next, sorted.
func (s *Standin) Gaps() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.gaps)
	slices.Sort(all)
	return all
}

// Actor acts again and again, as the command that a lock runs, until it is killed. It is a process of its own.
func Actor(to, who, token string, every time.Duration) error {
	c := http.Client{Timeout: time.Second}
	q := url.Values{"who": {who}, "token": {token}}
	for {
		resp, err := c.Post(to+"/?"+q.Encode(), "", nil)
		if err != nil {
			return err
		}
		resp.Body.Close()
		time.Sleep(every) // the pace of its work
	}
}
