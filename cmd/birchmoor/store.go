package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/lab/storebench"
	"birchmoor/internal/lab/storesim"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/replica"
)

type storeCommands struct {
	Status   storeStatus   `cmd:"" help:"How a replica of the store stands."`
	Meter    storeMeter    `cmd:"" help:"What the control plane cost this daemon since its start, by purpose."`
	Members  storeMembers  `cmd:"" help:"List the replicas."`
	Add      storeAdd      `cmd:"" help:"Add a replica, which waits with an empty disk."`
	Remove   storeRemove   `cmd:"" help:"Remove a replica for good."`
	Out      storeOut      `cmd:"" help:"List the servers that are out, drained or banned."`
	Servers  storeServers  `cmd:"" help:"List what is known of servers, from whom and how old."`
	Handover storeHandover `cmd:"" help:"Give leadership away, before a planned stop."`
	Get      storeGet      `cmd:"" help:"Read a key, or all keys with a prefix."`
	Put      storePut      `cmd:"" help:"Write a key."`
	Delete   storeDelete   `cmd:"" help:"Delete a key."`
	Lease    leaseCommands `cmd:"" help:"Keys that go when their holder falls silent."`
	Watch    storeWatch    `cmd:"" help:"Follow changes."`
	Snapshot storeSnapshot `cmd:"" help:"Save the whole store in a file, or begin a new cluster from one."`
	Bench    storeBench    `cmd:"" help:"Measure the store on this machine, beside a bare bbolt file."`
	Torture  storeTorture  `cmd:"" help:"Kill three real replicas in turn, or cut one off, under writers and readers, and look for what is lost."`
	Fleet    fleetCommands `cmd:"" help:"Run a fleet of daemons with sidecars, over slot servers that count."`
	Sim      storeSim      `cmd:"" help:"Play clusters of the store in simulation, many seeds."`
}

type socketFlag struct {
	Socket  string        `help:"Socket of a running daemon." default:"store.sock" env:"BIRCHMOOR_STORE" placeholder:"PATH"`
	JSON    bool          `help:"As JSON."`
	Timeout time.Duration `help:"Wait for an answer for so long at most." default:"10s"`
}

const (
	timeoutLeast = 50 * time.Millisecond
	timeoutMost  = 10 * time.Minute
	wordSlack    = 500 * time.Millisecond // for the daemon's own word that it has waited for so long
	sayAfter     = time.Second
)

// call asks the daemon, for at most the time that was given, and says on standard error that it waits if that takes
// long.
func (s *socketFlag) call(ctx context.Context, c *console, f func(context.Context, *adminapi.Client) error) error {
	if s.Timeout < timeoutLeast || s.Timeout > timeoutMost {
		return fmt.Errorf("--timeout: %v is not within %v and %v", s.Timeout, timeoutLeast, timeoutMost)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout+wordSlack)
	defer cancel()
	say := time.AfterFunc(sayAfter, func() {
		fmt.Fprintf(c.err, "birchmoor: no answer yet; waiting for %v in all\n", s.Timeout)
	})
	defer say.Stop()
	a := adminapi.Dial(s.Socket)
	a.Timeout = s.Timeout
	return f(ctx, a)
}

// failure is what --json prints of a change that was not seen to be made.
type failure struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome"` // "unchanged" or "unknown"
	Request string `json:"request,omitempty"`
}

// failed says what an error means for a change: that nothing was changed, or that it is not known whether. request, if
// it is not empty, is what to say again.
func (s *socketFlag) failed(ctx context.Context, c *console, err error, request string) error {
	var told *admin.ResponseError
	x := failure{Error: err.Error(), Outcome: "unchanged"}
	switch {
	case errors.As(err, &told) && told.OutcomeUnknown != nil, told == nil && ctx.Err() != nil:
		// The daemon sent it on and heard nothing, or did not even answer us.
		x.Outcome, x.Request = "unknown", request
		err = fmt.Errorf("the outcome is unknown: %w", err)
		if request != "" {
			err = fmt.Errorf("%w; to find out and have it made once, say it again with --request %s", err, request)
		}
	default:
		err = fmt.Errorf("nothing was changed: %w", err)
	}
	if s.JSON {
		if bad := json.NewEncoder(c.out).Encode(x); bad != nil {
			return bad
		}
	}
	return err
}

func (s *socketFlag) print(c *console, v any, table func(*tabwriter.Writer)) error {
	if s.JSON {
		e := json.NewEncoder(c.out)
		e.SetIndent("", " ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

type storeStatus struct{ socketFlag }

func (k *storeStatus) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		s, err := a.Status(ctx)
		if err != nil {
			return err
		}
		return k.print(c, s, func(w *tabwriter.Writer) {
			state := "follows"
			switch {
			case s.Failed != "":
				state = "stopped: " + s.Failed
			case s.WaitingToJoin:
				state = "waits to be taken into a cluster"
			case s.Follower && s.Following == "":
				state = "has a copy, and hears no replica"
			case s.Follower:
				state = "has a copy, and follows " + s.Following
			case s.Leading:
				state = "leads"
			case s.LeaderID == 0:
				state = "knows no leader"
			}
			copied := "not confirmed since the start"
			if s.CopyAge.Confirmed {
				copied = fmt.Sprintf("confirmed by a quorum %v ago", s.CopyAge.Age.Round(time.Millisecond))
			}
			if s.CopyAge.Stale {
				copied = "STALE, " + copied
			}
			began := fmt.Sprintf("%s at revision %d: %d out, %d starts, %d pictures", s.Startup.From, s.Startup.Revision, s.Startup.Exclusions, s.Startup.Starts, s.Startup.Snapshots)
			if s.Startup.Settings {
				began += ", the fleet's settings"
			}
			if s.Startup.Age != "" {
				began += ", written " + s.Startup.Age + " before"
			}
			for _, r := range s.Startup.Restored {
				began += fmt.Sprintf("; the module recalled %d servers from %s (%d pictures), %v old", r.Servers, r.From, r.Snapshots, r.Age.Round(time.Millisecond))
			}
			if s.Interest != nil {
				copied += fmt.Sprintf("; a part: %s", strings.Join(slices.Concat(s.Interest.Prefixes, s.Interest.Keys), " "))
			}
			k := s.Daemon
			for _, x := range [][2]any{{"began with", began}, {"holds", fmt.Sprintf("%d out, %d starts, %d pictures of %d bytes; %d changes owed",
				k.Exclusions, k.Starts, k.Snapshots, k.SnapshotBytes, k.PendingWrites)}, {"name", s.Name}, {"cluster", fmt.Sprintf("%x", s.Self.ClusterID)}, {"member", s.Self.MemberID}, {"state", state}, {"copy", copied},
				{"term", s.Term}, {"revision", s.Revision}, {"keys", s.Keys}, {"bytes", s.Bytes}, {"disk", s.DiskBytes},
				{"applied", fmt.Sprintf("%d of %d", s.Applied, s.Commit)}, {"members settled", s.MembershipStable},
				{"peers refused", s.PeersRejected}, {"connections refused", s.ConnectionsRejected}, {"messages dropped", s.MessagesDropped}} {
				fmt.Fprintf(w, "%v\t%v\n", x[0], x[1])
			}
		})
	})
}

type storeMeter struct{ socketFlag }

func (k *storeMeter) Help() string {
	return `Messages and bytes each way, entries of the log, and what was synced and written, counted since the start; and how the
process stands. Bytes of messages are those before TLS, without the heads of HTTP; those of connections are all.

Examples:
  birchmoor store meter
  birchmoor store meter --json --socket state/store.sock`
}

func (k *storeMeter) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		r, err := a.Usage(ctx)
		if err != nil {
			return err
		}
		return k.print(c, r, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "PURPOSE\tMESSAGES IN\tBYTES IN\tMESSAGES OUT\tBYTES OUT\tENTRIES PROPOSED\tAPPLIED\tBYTES APPLIED")
			for _, p := range r.Purposes {
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Purpose, p.MessagesIn, p.BytesIn, p.MessagesOut, p.BytesOut, p.Proposed, p.Applied,
					p.AppliedBytes)
			}
			fmt.Fprintf(w, "connections (%d opened)\t\t%d\t\t%d\n", r.Connections.Opened, r.Connections.BytesIn, r.Connections.BytesOut)
			fmt.Fprintln(w, "\nFILE\tSYNCS\tBYTES WRITTEN")
			for _, f := range r.Written {
				fmt.Fprintf(w, "%s\t%d\t%d\n", f.File, f.Syncs, f.Bytes)
			}
			p := r.Process
			fmt.Fprintln(w, "\nPROCESS")
			for _, x := range [][2]any{{"seconds", fmt.Sprintf("%.1f", r.Seconds)}, {"cpu user seconds", fmt.Sprintf("%.2f", p.CPUUserSeconds)},
				{"cpu system seconds", fmt.Sprintf("%.2f", p.CPUSystemSeconds)}, {"heap bytes", p.HeapBytes}, {"resident bytes", p.ResidentBytes},
				{"descriptors", p.Descriptors}, {"goroutines", p.Goroutines}} {
				fmt.Fprintf(w, "%v\t%v\n", x[0], x[1])
			}
		})
	})
}

type storeMembers struct{ socketFlag }

func (k *storeMembers) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		s, err := a.Status(ctx)
		if err != nil {
			return err
		}
		return k.print(c, s.Peers, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "ID\tNAME\tADDRESS\tROLE\tLEVEL\tSTARTS\tENTRY")
			for _, p := range s.Peers {
				role := "votes"
				switch {
				case p.Leader:
					role = "leads"
				case p.Learner:
					role = "learns"
				}
				match := "-" // the leader alone knows
				if p.MatchIndex > 0 {
					match = strconv.FormatUint(p.MatchIndex, 10)
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d\t%s\n", p.ID, p.Name, p.Address, role, p.Level, p.Boot, match)
			}
		})
	})
}

// change makes a change, and prints a note if its outcome is unknown.
func (s *socketFlag) change(ctx context.Context, c *console, r admin.ChangeRequest, table func(*tabwriter.Writer, admin.ChangeResponse)) error {
	if r.ID == (store.RequestID{}) {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return err
		}
		r.ID = store.RequestID{Client: binary.BigEndian.Uint64(b[:]) >> 1, Seq: 1}
	}
	return s.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		x, err := a.Change(ctx, r)
		if err != nil {
			return s.failed(ctx, c, err, fmt.Sprintf("%d-%d", r.ID.Client, r.ID.Seq))
		}
		return s.print(c, x, func(w *tabwriter.Writer) { table(w, x) })
	})
}

type requestFlag struct {
	Request string `help:"Id of a request whose outcome is unknown: it is made once." placeholder:"ID"`
}

func (r requestFlag) id() (id store.RequestID, err error) {
	if r.Request == "" {
		return id, nil
	}
	if n, err := fmt.Sscanf(r.Request, "%d-%d", &id.Client, &id.Seq); n != 2 || err != nil {
		return id, fmt.Errorf("--request %q is not of the form 123-1", r.Request)
	}
	return id, nil
}

type storeAdd struct {
	socketFlag
	requestFlag
	Name    string `arg:"" help:"Name of the replica."`
	Address string `arg:"" help:"Where the others reach it, such as 127.0.0.1:7402."`
}

func (k *storeAdd) Help() string {
	return `Start the replica with join = true and an empty folder first. It learns until it has caught up,
and votes from then on. One replica at a time.

Example:
  birchmoor store add b 127.0.0.1:7402`
}

func (k *storeAdd) Run(ctx context.Context, c *console) error {
	id, err := k.id()
	if err != nil {
		return err
	}
	return k.change(ctx, c, admin.ChangeRequest{ID: id, AddMember: &store.AddMember{Name: k.Name, Address: k.Address}}, func(w *tabwriter.Writer, x admin.ChangeResponse) {
		fmt.Fprintf(w, "member %d, a learner until it has caught up\n", x.MemberID)
	})
}

type storeRemove struct {
	socketFlag
	requestFlag
	Member uint64 `arg:"" help:"Id of the member; it is never given again."`
}

func (k *storeRemove) Run(ctx context.Context, c *console) error {
	id, err := k.id()
	if err != nil {
		return err
	}
	return k.change(ctx, c, admin.ChangeRequest{ID: id, RemoveMember: k.Member}, func(w *tabwriter.Writer, x admin.ChangeResponse) {
		fmt.Fprintf(w, "member %d is removed\n", k.Member)
	})
}

type storeOut struct{ socketFlag }

func (k *storeOut) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		all, err := a.Exclusions(ctx)
		if err != nil {
			return err
		}
		return k.print(c, all, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "SERVER\tWHY\tBY\tAGE\tAGREED")
			for _, o := range all {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\n", o.Server, o.Kind, o.ReportedBy, ageOf(o.AgeMillis), o.Committed)
			}
		})
	})
}

// ageOf writes an age in milliseconds; "-" is not known.
func ageOf(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

type storeServers struct {
	socketFlag
	ID string `arg:"" optional:"" help:"Of one server."`
}

func (k *storeServers) Help() string {
	return `Drains, bans, processes that began a while ago, and what sidecars' decision modules know, as this daemon and its copy of
the store have it. AGE is since the store's latest word came here; - is before this daemon's start.

Example:
  birchmoor store servers s-5be2a07c`
}

func (k *storeServers) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		all, err := a.FleetServers(ctx)
		if err != nil {
			return err
		}
		if k.ID != "" {
			all = slices.DeleteFunc(all, func(f daemon.ServerFact) bool { return f.ID != k.ID })
			if len(all) == 0 {
				fmt.Fprintf(c.err, "%s: nothing is known of it here\n", k.ID)
				return errMissed
			}
		}
		return k.print(c, all, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "SERVER\tADDRESS\tSTART\tWHAT\tBY\tAGE\tLEFT\tAGREED")
			for _, f := range all {
				start, left, by := "-", "-", f.By
				if f.StartedMs != 0 {
					start = time.UnixMilli(f.StartedMs).UTC().Format(time.RFC3339)
				}
				if f.RemainingMs > 0 {
					left = (time.Duration(f.RemainingMs) * time.Millisecond).String()
				}
				if f.Sidecars > 1 {
					by = fmt.Sprintf("%s and %d more", f.By, f.Sidecars-1)
				}
				if f.Partial {
					by += " (no replica tells of the others)"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%v\n", f.ID, cmp.Or(f.Addr, "-"), start, f.Kind, by, ageOf(f.AgeMs), left, f.Committed)
			}
		})
	})
}

type storeHandover struct{ socketFlag }

func (k *storeHandover) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		if err := a.TransferLeadership(ctx); err != nil {
			return k.failed(ctx, c, err, "")
		}
		return nil
	})
}

type storeGet struct {
	socketFlag
	Key    string `arg:"" help:"Key, or prefix."`
	Prefix bool   `help:"All keys that begin with it."`
	Stale  bool   `help:"This copy as it is, without asking the quorum; its age is told."`
	Limit  int    `help:"So many keys at most." default:"1000"`
}

func text(b []byte) string {
	if utf8.Valid(b) {
		return string(b)
	}
	return fmt.Sprintf("%q", b)
}

func (k *storeGet) Run(ctx context.Context, c *console) error {
	q := url.Values{"limit": {strconv.Itoa(k.Limit)}}
	if k.Stale {
		q.Set("stale", "true")
	}
	if k.Prefix {
		q.Set("prefix", k.Key)
	} else {
		q.Set("key", k.Key)
	}
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		i, err := a.Range(ctx, q)
		if err != nil {
			return err
		}
		if len(i.Items) == 0 && !k.Prefix {
			fmt.Fprintf(c.err, "%s: no such key at revision %d\n", k.Key, i.CopyAge.Revision)
			return errMissed
		}
		return k.print(c, i, func(w *tabwriter.Writer) {
			for _, x := range i.Items {
				fmt.Fprintf(w, "%s\t%s\t%d\n", x.Key, text(x.Value), x.ModRevision)
			}
			if i.More {
				fmt.Fprintln(w, "and more: raise --limit")
			}
			if k.Stale {
				fmt.Fprintf(w, "stale: revision %d, confirmed %v ago\n", i.CopyAge.Revision, i.CopyAge.Age.Round(time.Millisecond))
			}
		})
	})
}

type storePut struct {
	socketFlag
	requestFlag
	Key   string  `arg:"" help:"Key."`
	Value string  `arg:"" help:"Value; - reads standard input."`
	If    *uint64 `help:"Only if the key was last put at this revision; 0: only if there is none." placeholder:"REVISION"`
	Lease uint64  `help:"The key goes when this lease ends." placeholder:"ID"`
}

func (k *storePut) Run(ctx context.Context, c *console) error {
	value := []byte(k.Value)
	if k.Value == "-" {
		var err error
		if value, err = io.ReadAll(io.LimitReader(os.Stdin, 2<<20)); err != nil {
			return err
		}
	}
	return putOrDelete(ctx, c, &k.socketFlag, k.requestFlag, store.Op{Key: k.Key, Value: value, LeaseID: k.Lease}, k.If)
}

func putOrDelete(ctx context.Context, c *console, s *socketFlag, r requestFlag, op store.Op, at *uint64) error {
	id, err := r.id()
	if err != nil {
		return err
	}
	t := &store.Txn{Then: []store.Op{op}}
	if at != nil {
		t.If = []store.Compare{{Key: op.Key, ModRevision: *at}}
	}
	held := true
	err = s.change(ctx, c, admin.ChangeRequest{ID: id, Txn: t}, func(w *tabwriter.Writer, x admin.ChangeResponse) {
		if held = x.Succeeded; held {
			fmt.Fprintf(w, "revision %d\n", x.Revision)
		}
	})
	if err == nil && !held {
		fmt.Fprintf(c.err, "%s was changed meanwhile: nothing was done\n", op.Key)
		return errMissed
	}
	return err
}

type storeDelete struct {
	socketFlag
	requestFlag
	Key string  `arg:"" help:"Key."`
	If  *uint64 `help:"Only if the key was last put at this revision." placeholder:"REVISION"`
}

func (k *storeDelete) Run(ctx context.Context, c *console) error {
	return putOrDelete(ctx, c, &k.socketFlag, k.requestFlag, store.Op{Key: k.Key, Delete: true}, k.If)
}

type storeWatch struct {
	socketFlag
	Prefix string  `arg:"" optional:"" help:"Keys that begin with it."`
	After  *uint64 `help:"Changes after this revision; without it, from now on." placeholder:"REVISION"`
}

func (k *storeWatch) Run(ctx context.Context, c *console) error {
	q := url.Values{"prefix": {k.Prefix}}
	if k.After != nil {
		q.Set("after", strconv.FormatUint(*k.After, 10))
	}
	enc := json.NewEncoder(c.out)
	return adminapi.Dial(k.Socket).Watch(ctx, q, func(e store.Event) error {
		if k.JSON {
			return enc.Encode(e)
		}
		what := "put   "
		if e.Deleted {
			what = "delete"
		}
		_, err := fmt.Fprintf(c.out, "%d  %s  %s  %s\n", e.Revision, what, e.Item.Key, text(e.Item.Value))
		return err
	})
}

type storeSnapshot struct {
	Save    snapshotSave    `cmd:"" help:"Save the store as it is now."`
	Restore snapshotRestore `cmd:"" help:"Begin a new cluster of one replica from a saved file."`
}

type snapshotSave struct {
	socketFlag
	File string `arg:"" help:"File to write."`
}

func (k *snapshotSave) Run(ctx context.Context, c *console) error {
	f, err := os.CreateTemp(filepath.Dir(k.File), ".snapshot-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // without effect once renamed
	revision, err := adminapi.Dial(k.Socket).SaveSnapshot(ctx, f)
	if err == nil {
		_, err = f.Seek(0, io.SeekStart)
	}
	var s *store.State
	if err == nil {
		s, err = store.Load(f) // what is kept is whole
	}
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), k.File)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: revision %s, %d keys\n", k.File, revision, s.Len())
	return nil
}

type snapshotRestore struct {
	File    string `arg:"" type:"existingfile" help:"File that was saved."`
	Dir     string `arg:"" help:"Empty folder for the store."`
	Name    string `help:"Name of the replica." required:""`
	Address string `help:"Where others will reach it." placeholder:"HOST:PORT"`
}

func (k *snapshotRestore) Run(c *console) error {
	f, err := os.Open(k.File)
	if err != nil {
		return err
	}
	defer f.Close()
	s, err := store.Load(f)
	if err != nil {
		return fmt.Errorf("%s: %w", k.File, err)
	}
	d, err := disk.Open(k.Dir, disk.Options{})
	if err != nil {
		return err
	}
	defer d.Close()
	if d.Identity().ClusterID != 0 {
		return fmt.Errorf("%s holds a store already", k.Dir)
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	// Above what the old cluster can have given since the file was saved, and above what an earlier restoring of the same file
	// went on with: the clock only makes that likely; what a token guards turns lower ones away in any case.
	s.Reinitialize(binary.BigEndian.Uint64(b[:])>>1|1, max(s.Revision()+1_000_000_000, uint64(time.Now().Unix())<<20))
	if s.Level() >= store.Level {
		s.Seed(lease.SuspendKey, []byte("restored"), lease.MaxTTLMillis) // for as long as holders of the old cluster may go on
	}
	s.Bootstrap(k.Name, k.Address, d.Identity().DiskID)
	if err := replica.BootstrapFrom(d, d.Identity(), s); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: a new cluster %x at revision %d, %d keys\n", k.Dir, s.Cluster(), s.Revision(), s.Len())
	return nil
}

type storeSim struct {
	Seeds    int    `help:"So many." default:"100"`
	Seed     uint64 `help:"The first." default:"0"`
	Plant    string `help:"Put a fault in, and count the seeds until it is found; list names them." placeholder:"NAME"`
	Replicas int    `help:"At the start." default:"3"`
	Ops      int    `help:"Requests of each client." default:"60"`
	Faults   int    `help:"Faults that are caused in a run." default:"24"`
	Gap      int    `help:"Milliseconds of virtual time between two of them." default:"300"`
	Mixed    bool   `help:"Hosts begin with a build of level 1 of commands, and go a step up or back in turn."`
	JSON     bool   `help:"A line of JSON for each run."`
}

func (k *storeSim) Help() string {
	return `Exit code 1 if a promise was broken; with --plant, if the fault was not found.

Examples:
  birchmoor store sim --seeds 1000
  birchmoor store sim --seed 106 --seeds 1 --json
  birchmoor store sim --plant stale-read`
}

func (k *storeSim) Run(ctx context.Context, c *console) error {
	o := storesim.Options{Replicas: k.Replicas, Ops: k.Ops, Faults: k.Faults, Gap: k.Gap, Mixed: k.Mixed}
	for _, f := range storesim.Faults {
		if k.Plant == "list" {
			fmt.Fprintf(c.out, "%-18s %s\n", f.Name, f.About)
		} else if f.Name == k.Plant {
			o.Planted, o.Watch = f.Fault, f.Watch
		}
	}
	if k.Plant == "list" {
		return nil
	}
	if k.Plant != "" && o.Planted == 0 && o.Watch == storesim.WatchNone {
		return fmt.Errorf("--plant %q is not a fault: list names them", k.Plant)
	}
	broken := 0
	var sum storesim.Result
	enc := json.NewEncoder(c.out)
	for i := range uint64(k.Seeds) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r := storesim.Run(k.Seed+i, o)
		sum.Ops, sum.Crashes, sum.Cuts, sum.Elected = sum.Ops+r.Ops, sum.Crashes+r.Crashes, sum.Cuts+r.Cuts, sum.Elected+r.Elected
		sum.Told, sum.Over, sum.Sent, sum.Steps = sum.Told+r.Told, sum.Over+r.Over, sum.Sent+r.Sent, sum.Steps+r.Steps
		sum.Joined, sum.Left, sum.Installs = sum.Joined+r.Joined, sum.Left+r.Left, sum.Installs+r.Installs
		if k.JSON {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		if len(r.Broken) > 0 {
			broken++
			if !k.JSON {
				fmt.Fprintf(c.out, "seed %d: %q\n", r.Seed, r.Broken)
			}
			if k.Plant != "" {
				fmt.Fprintf(c.err, "%s: found by seed %d, after %d\n", k.Plant, r.Seed, i+1)
				return nil
			}
		}
	}
	fmt.Fprintf(c.err, "%d seeds, %d broken: %d requests, %d crashes, %d cuts, %d leaders, %d joined, %d left, %d snapshots installed\n",
		k.Seeds, broken, sum.Ops, sum.Crashes, sum.Cuts, sum.Elected, sum.Joined, sum.Left, sum.Installs)
	fmt.Fprintf(c.err, "drains: %d changes that tell of one, %d ends; %d requests sent to servers; %d changes of a host's build\n", sum.Told, sum.Over,
		sum.Sent, sum.Steps)
	if broken > 0 || k.Plant != "" {
		return errMissed
	}
	return nil
}

type storeBench struct {
	Dir     string        `help:"Folder for the disks." default:"." type:"existingdir"`
	For     time.Duration `help:"Each figure." default:"3s"`
	Writers []int         `help:"At once." default:"1,16,256"`
	Bytes   int           `help:"Of a value." default:"100"`
	CatchUp int           `help:"Megabytes that an empty replica is given; 0 for not at all." placeholder:"MB"`
	Million int           `help:"Writes after which memory and disk are told; 0 for not at all." placeholder:"N"`
	JSON    bool          `help:"As JSON."`
}

func (k *storeBench) Run(ctx context.Context, c *console) error {
	r, err := storebench.Run(ctx, storebench.Options{Dir: k.Dir, For: k.For, Writers: k.Writers, Bytes: k.Bytes, CatchUp: k.CatchUp,
		Million: k.Million, Say: func(s string) { fmt.Fprintln(c.err, "measuring:", s) }})
	if err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(r)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WHAT\tAT ONCE\tA SECOND\tP50 MS\tP99 MS\tOF BARE BBOLT")
	for _, x := range r.Rates {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.2f\t%.2f\t%.2f\n", x.What, x.Writers, x.Each, x.P50, x.P99, x.Limit)
	}
	if len(r.Leader) > 0 {
		fmt.Fprintf(w, "without a leader, ms\t\t%.0f\n", r.Leader[0])
	}
	if r.CatchUp > 0 {
		fmt.Fprintf(w, "an empty replica takes %.0f MB in, s\t\t%.1f\n", r.CaughtMB, r.CatchUp)
	}
	if r.Writes > 0 {
		fmt.Fprintf(w, "after %d writes: heap %.0f MB, disk %.0f MB\n", r.Writes, r.HeapMB, r.DiskMB)
	}
	return w.Flush()
}

type storeTorture struct {
	Dir     string        `help:"Folder for what it writes." default:"." type:"existingdir"`
	For     time.Duration `help:"Long." default:"1m"`
	Every   time.Duration `help:"A kill." default:"2s"`
	Writers int           `help:"At once, with a reader each." default:"8"`
	Seed    uint64        `help:"Of who is killed." default:"1"`
	JSON    bool          `help:"As JSON."`
}

func (k *storeTorture) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	t := storebench.Torture{Program: self, Args: []string{"run", "--config"}, Dir: k.Dir, For: k.For, Every: k.Every, Writers: k.Writers,
		Seed: k.Seed, Say: func(s string) { fmt.Fprintln(c.err, s) }}
	r, err := t.Run(ctx)
	if err != nil {
		return err
	}
	if k.JSON {
		if err := json.NewEncoder(c.out).Encode(r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.out, "%d kills, %d times all at once, %d cuts; %d writes answered, %d sent again, %d reads; lost: %q\n", r.Kills, r.All, r.Cuts, r.Writes,
			r.Unknown, r.Reads, r.Lost)
	}
	if len(r.Lost) > 0 {
		return errMissed
	}
	return nil
}
