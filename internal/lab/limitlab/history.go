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
	historyBefore   = 3 * time.Second // part of the history shown before the interval in which a limit was exceeded
)

// history records the changes of the store's keys of the limits during a run, so that an excess can be traced to the
// sessions, grants and demands behind it. It is safe for concurrent use.
type history struct {
	now func() time.Duration

	mu       sync.Mutex
	revision uint64 // of the last recorded change
	lines    []historyLine
}

type historyLine struct {
	at   time.Duration // when the lab received the change; late if its replica was down
	text string
}

// record follows the change feed of one replica after another until ctx ends.
func (h *history) record(ctx context.Context, replicas []*adminapi.Client) {
	for next := 0; ctx.Err() == nil; next++ {
		h.mu.Lock()
		after := h.revision
		h.mu.Unlock()
		query := url.Values{"prefix": {quota.Prefix}, "after": {strconv.FormatUint(after, 10)}}
		// The watch of a killed replica ends with an error; the next replica continues it.
		_ = replicas[next%len(replicas)].Watch(ctx, query, func(e store.Event) error {
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

// describeEvent describes a changed grant or demand.
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

// changesBetween returns the changes received within an interval.
func (h *history) changesBetween(from, to time.Duration) (lines []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, line := range h.lines {
		if from <= line.at && line.at <= to {
			lines = append(lines, fmt.Sprintf("%v %s", line.at.Round(time.Millisecond), line.text))
		}
	}
	return lines
}
