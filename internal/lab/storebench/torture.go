package storebench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/lab/relay"
	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
)

// Torture has three real processes killed in turn with SIGKILL, or all at once, or one cut off from what
// the others send, while writers and readers go on.
type Torture struct {
	Program string   // that runs a replica
	Args    []string // to it, before the operator file
	Dir     string   // for what it writes; a temporary folder within it
	For     time.Duration
	Every   time.Duration // a kill; 2 s
	Writers int           // 8
	Seed    uint64
	Say     func(string)
}

// Tortured is what came of it.
type Tortured struct {
	Kills   int      `json:"kills"`
	Cuts    int      `json:"cuts"` // of all that comes in to one, without a word
	All     int      `json:"all_at_once"`
	Writes  int      `json:"writes_answered"`
	Unknown int      `json:"writes_sent_again"`
	Reads   int      `json:"reads"`
	Lost    []string `json:"lost"` // writes that were answered and are not there, or reads that went back
}

type process struct {
	name, dir string
	in        *relay.Link // what other replicas send to it
	cmd       *exec.Cmd
	client    *admin.Client
}

func (p *process) socket() string { return filepath.Join(p.dir, "s.sock") }

func (t *Torture) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(t.Program, append(append([]string{}, t.Args...), filepath.Join(p.dir, "op.toml"))...)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG=")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.client = admin.Dial(p.socket())
	return p.cmd.Start()
}

func (p *process) kill() error {
	err := p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // it was killed
	return err
}

// Run tortures.
func (t *Torture) Run(ctx context.Context) (r Tortured, err error) {
	if t.Every == 0 {
		t.Every = 2 * time.Second
	}
	if t.Writers == 0 {
		t.Writers = 8
	}
	dir, err := os.MkdirTemp(t.Dir, "store-torture-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	if err := keys.Init(filepath.Join(dir, "keys"), "torture"); err != nil {
		return r, err
	}
	var all []*process
	defer func() {
		for _, p := range all {
			err = errors.Join(err, p.kill())
			p.in.Close()
		}
	}()
	for i := range 3 {
		p, addr, err := t.prepare(dir, i)
		if err != nil {
			return r, err
		}
		if err := t.start(p); err != nil {
			return r, err
		}
		all = append(all, p)
		if err := t.settled(ctx, all, i, addr); err != nil {
			return r, err
		}
	}
	t.load(ctx, all, &r)
	return r, nil
}

func (t *Torture) prepare(dir string, i int) (*process, string, error) {
	p := &process{name: fmt.Sprintf("r%d", i), dir: filepath.Join(dir, fmt.Sprintf("r%d", i))}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	in, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Join(err, ln.Close())
	}
	p.in = relay.New(ln.Addr().String(), t.Seed+uint64(i), relay.Conditions{})
	p.in.Listen(in)
	addr := in.Addr().String()
	file := fmt.Sprintf("[store]\nname = %q\ndir = \"db\"\nsocket = \"s.sock\"\nlisten = %q\naddress = %q\nkeys = \"../keys\"\njoin = %v\n",
		p.name, ln.Addr(), addr, i > 0)
	return p, addr, errors.Join(ln.Close(), os.Mkdir(p.dir, 0o700), keys.Issue(filepath.Join(dir, "keys"), p.name, 24*time.Hour, false),
		os.WriteFile(filepath.Join(p.dir, "op.toml"), []byte(file), 0o600))
}

// settled adds the newest process, and waits until it votes.
func (t *Torture) settled(ctx context.Context, all []*process, i int, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	added := i == 0
	for ctx.Err() == nil {
		if !added {
			_, err := all[0].client.Change(ctx, admin.ChangeRequest{ID: store.RequestID{Client: 1 << 40, Seq: uint64(i)}, AddMember: &store.AddMember{Name: all[i].name, Address: addr}})
			added = err == nil
		}
		if s, err := all[0].client.Status(ctx); err == nil && added && s.MembershipStable && len(s.Peers) == i+1 && s.LeaderID != 0 {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("replica %d did not come to vote", i)
}

// load writes, reads and kills until the time is over, then looks for all that was answered.
func (t *Torture) load(ctx context.Context, all []*process, r *Tortured) {
	short, cancel := context.WithTimeout(ctx, t.For)
	defer cancel()
	var mu sync.Mutex
	answered := make([]int, t.Writers)
	lost := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		if len(r.Lost) < 20 {
			r.Lost = append(r.Lost, fmt.Sprintf(format, args...))
		}
	}
	client := func(i int) *admin.Client { mu.Lock(); defer mu.Unlock(); return all[i%3].client }
	var wg sync.WaitGroup
	for w := range t.Writers {
		key := fmt.Sprintf("w%d", w)
		wg.Go(func() { // the same request until it is answered: the count never goes back, nor is one left out
			for n := 1; short.Err() == nil; n++ {
				q := admin.ChangeRequest{ID: store.RequestID{Client: uint64(w + 1), Seq: uint64(n)}, Txn: &store.Txn{
					Then: []store.Op{{Key: key, Value: strconv.AppendInt(nil, int64(n), 10)}}}}
				for try := w; ; try++ {
					c, done := context.WithTimeout(ctx, 3*time.Second)
					_, err := client(try).Change(c, q)
					done()
					if err == nil {
						break
					}
					if ctx.Err() != nil {
						return
					}
					mu.Lock()
					r.Unknown++
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
				mu.Lock()
				answered[w] = n
				r.Writes++
				mu.Unlock()
			}
		})
		wg.Go(func() {
			for try := 0; short.Err() == nil; try++ {
				mu.Lock()
				least := answered[w]
				mu.Unlock()
				c, done := context.WithTimeout(ctx, 3*time.Second)
				i, err := client(try).Range(c, url.Values{"key": {key}})
				done()
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				got := 0
				if len(i.Items) == 1 {
					got, _ = strconv.Atoi(string(i.Items[0].Value))
				}
				if got < least {
					lost("a read of %s at replica %d gave %d, and %d had been answered before", key, try%3, got, least)
				}
				mu.Lock()
				r.Reads++
				mu.Unlock()
			}
		})
	}
	rng := rand.New(rand.NewPCG(t.Seed, 1))
	for turn := 0; short.Err() == nil; turn++ {
		select {
		case <-short.Done():
			continue
		case <-time.After(t.Every/2 + rand.N(t.Every)):
		}
		if rng.IntN(3) == 0 {
			in := all[rng.IntN(3)].in
			in.Update(func(c *relay.Conditions) { c.BlackHole = true })
			time.Sleep(t.Every/2 + rand.N(t.Every))
			in.Update(func(c *relay.Conditions) { c.BlackHole = false })
			r.Cuts++
			continue
		}
		victims := []int{turn % 3}
		if rng.IntN(4) == 0 {
			victims = []int{0, 1, 2}
			r.All++
		}
		for _, v := range victims {
			if err := all[v].kill(); err != nil {
				lost("kill: %v", err)
			}
			r.Kills++
		}
		rng.Shuffle(len(victims), func(i, j int) { victims[i], victims[j] = victims[j], victims[i] })
		for _, v := range victims {
			mu.Lock()
			err := t.start(all[v])
			mu.Unlock()
			if err != nil {
				lost("start: %v", err)
			}
		}
		if t.Say != nil {
			mu.Lock()
			t.Say(fmt.Sprintf("%d kills, %d writes answered, %d reads, %d lost", r.Kills, r.Writes, r.Reads, len(r.Lost)))
			mu.Unlock()
		}
	}
	wg.Wait()
	for w, n := range answered {
		var i admin.RangeResponse
		var err error
		for try := 0; try < 200; try++ {
			c, done := context.WithTimeout(ctx, 3*time.Second)
			i, err = client(try).Range(c, url.Values{"key": {fmt.Sprintf("w%d", w)}})
			done()
			if err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if err != nil || n > 0 && (len(i.Items) != 1 || string(i.Items[0].Value) != strconv.Itoa(n)) {
			lost("w%d: %d was answered, and at the end there is %v (%v)", w, n, i.Items, err)
		}
	}
}
