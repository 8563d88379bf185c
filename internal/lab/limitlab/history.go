package limitlab

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/store"
)

const (
	maxHistoryLines = 20_000
	watchRetryPause = 50 * time.Millisecond
	historyBefore   = 3 * time.Second // that is shown before the interval in which a limit was exceeded
)

// history is what the store's keys of the limits were changed to during a run, so that an excess can be traced to the
// sessions, grants and reports behind it.
type history struct {
	now func() time.Duration

	mu       sync.Mutex
	revision uint64 // up to which it has the changes
	lines    []historyLine
}

type historyLine struct {
	at   time.Duration // when the lab heard of it: late, if its replica was away
	text string
}

// record follows one replica after another until ctx ends.
func (h *history) record(ctx context.Context, replicas []*adminapi.Client) {
	for at := 0; ctx.Err() == nil; at++ {
		h.mu.Lock()
		after := h.revision
		h.mu.Unlock()
		query := url.Values{"prefix": {quota.Prefix}, "after": {strconv.FormatUint(after, 10)}}
		// The stream of a replica that is killed ends with an error, and the next one is asked.
		_ = replicas[at%len(replicas)].Watch(ctx, query, func(e store.Event) error {
			h.add(e)
			return nil
		})
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryPause):
		}
	}
}

func (h *history) add(e store.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.Revision < h.revision {
		return
	}
	h.revision = e.Revision
	if e.Item.Key == quota.AllocationKey {
		return
	}
	h.lines = append(h.lines, historyLine{h.now(), fmt.Sprintf("revision %d: %s", e.Revision, describeEvent(e))})
	if len(h.lines) > maxHistoryLines {
		h.lines = h.lines[1:]
	}
}

// describeEvent says what a grant or a demand was changed to.
func describeEvent(e store.Event) string {
	key := strings.TrimPrefix(e.Item.Key, quota.Prefix)
	if e.Deleted {
		return key + " deleted"
	}
	if strings.HasPrefix(e.Item.Key, quota.GrantPrefix) {
		grant, err := quota.DecodeGrant(e.Item.Value)
		if err != nil {
			return key + ": " + err.Error()
		}
		var quotas []string
		for name, q := range grant.Quotas {
			quotas = append(quotas, fmt.Sprintf("%s=%s (was %s)",
				name, quota.FormatAmount(q.Amount), quota.FormatAmount(q.Previous)))
		}
		slices.Sort(quotas)
		return fmt.Sprintf("%s: age %v, %s", key, time.Duration(grant.DepartedForNanos), strings.Join(quotas, ", "))
	}
	demand, err := quota.DecodeDemand(e.Item.Value)
	if err != nil {
		return key
	}
	var used []string
	for name, node := range demand.Nodes {
		used = append(used, fmt.Sprintf("%s=%s", name, quota.FormatAmount(node.InUse)))
	}
	slices.Sort(used)
	return fmt.Sprintf("%s: seen revision %d, in use %s", key, demand.SeenRevision, strings.Join(used, ", "))
}

// between returns the changes heard of in a time.
func (h *history) between(from, to time.Duration) (lines []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, line := range h.lines {
		if from <= line.at && line.at <= to {
			lines = append(lines, fmt.Sprintf("%v %s", line.at.Round(time.Millisecond), line.text))
		}
	}
	return lines
}
