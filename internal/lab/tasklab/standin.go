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

// Action is an action as the target received it. Its field names are written to history.json of a failed run.
type Action struct {
	Who   string
	Token uint64
	At    time.Duration // arrival, since the start of the target
	Taken bool          // it took effect at the fenced half
}

// Target is the target of the actors' actions. It has two halves that receive the same actions: the fenced half checks
// fencing tokens, and at the unfenced half all actions take effect. It is safe for concurrent use.
type Target struct {
	*httptest.Server
	startedAt time.Time
	fence     *lease.Fence

	mu                sync.Mutex
	actions           int
	unfencedToken     uint64        // highest token that took effect at the unfenced half
	lastActionAt      time.Duration // time of its last action
	longestPause      time.Duration // longest time between two of its actions since resetPause
	holder            string        // name of its actor
	slots             int
	fencedToken       uint64         // highest token that took effect at the fenced half
	stoppedActors     map[string]int // how often the fault run stopped an actor, which may then act late
	lateActions       []Action       // took effect at the unfenced half after a higher token
	misorderedActions []Action       // took effect at the fenced half after a higher token
	gaps              []time.Duration
	changes           []HolderChange
}

// HolderChange is a change from one holder to the next. Its field names are written to history.json of a failed run.
type HolderChange struct {
	From, To uint64
	Last     time.Duration // last action of the previous holder
	First    time.Duration // first action of the next holder
}

func newTarget(path string, defect lease.FenceDefect) (*Target, error) {
	fence, err := lease.OpenFence(path, defect)
	if err != nil {
		return nil, err
	}
	target := &Target{startedAt: time.Now(), fence: fence, stoppedActors: map[string]int{}}
	target.Server = httptest.NewServer(target)
	return target, nil
}

// ServeHTTP receives an action, and responds with 409 if it did not take effect at the fenced half.
func (s *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	token, err := strconv.ParseUint(q.Get("token"), 10, 64)
	if err != nil {
		http.Error(w, "no token", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	action := Action{Who: q.Get("who"), Token: token, At: time.Since(s.startedAt)}
	action.Taken = s.fence.Admit("task", token) == nil
	s.actions++
	if action.Taken {
		if token < s.fencedToken {
			s.misorderedActions = append(s.misorderedActions, action)
		}
		s.fencedToken = max(s.fencedToken, token)
	}
	switch {
	case token < s.unfencedToken:
		s.lateActions = append(s.lateActions, action)
	case token > s.unfencedToken:
		if s.unfencedToken != 0 {
			s.gaps = append(s.gaps, action.At-s.lastActionAt)
			s.changes = append(s.changes, HolderChange{s.unfencedToken, token, s.lastActionAt, action.At})
		}
		s.unfencedToken, s.holder = token, action.Who
	}
	if token == s.unfencedToken {
		s.longestPause = max(s.longestPause, action.At-s.lastActionAt)
		s.lastActionAt = action.At
	}
	if !action.Taken {
		w.WriteHeader(http.StatusConflict)
	}
}

// markStopped records that the fault run stops an actor between any two of its instructions.
func (s *Target) markStopped(who string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedActors[who]++
}

// state returns the actor with the highest token, this token, and the number of all actions.
func (s *Target) state() (holder string, token uint64, actions int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder, s.unfencedToken, s.actions
}

// resetPause starts a new measurement of the longest pause between two actions.
func (s *Target) resetPause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.longestPause = 0
}

// pauseSinceReset returns the longest pause since resetPause.
func (s *Target) pauseSinceReset() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longestPause
}

// highestToken returns the highest token of all actions.
func (s *Target) highestToken() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unfencedToken
}

// check returns the violations, and how many late actions no lease can prevent: those of actors that the fault run had
// stopped, and those with the tokens in slow, whose keepers were not run in time by their host.
func (s *Target) check(slow map[uint64]bool) (broken []string, late, starved int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.misorderedActions {
		broken = append(broken, fmt.Sprintf("token order: %d of %s took effect at %v, after %d", a.Token, a.Who,
			a.At.Round(time.Millisecond), s.fencedToken))
	}
	for _, a := range s.lateActions {
		if s.stoppedActors[a.Who] > 0 {
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

// Gaps returns the times without an action from one holder to the next, sorted.
func (s *Target) Gaps() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.gaps)
	slices.Sort(all)
	return all
}

// Actor sends actions to the target at the address until its process is killed. It is the command that a lock runs, in
// a process of its own.
func Actor(to, who, token string, every time.Duration) error {
	c := http.Client{Timeout: time.Second}
	q := url.Values{"who": {who}, "token": {token}}
	for {
		resp, err := c.Post(to+"/?"+q.Encode(), "", nil)
		if err != nil {
			return err
		}
		resp.Body.Close()
		time.Sleep(every)
	}
}
