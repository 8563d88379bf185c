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

// FaultRun runs three replicas as processes under concurrent writers and readers. Meanwhile it kills one replica or all
// with SIGKILL, or cuts one off from the messages of the others. It checks that no write that was answered is lost, and
// that reads are linearizable.
type FaultRun struct {
	Program       string   // runs a replica
	Args          []string // of Program, before the operator file
	Dir           string   // parent of the temporary folder
	Duration      time.Duration
	FaultInterval time.Duration // mean interval between two faults; 0 for 2 s
	Writers       int           // 0 for 8
	Seed          uint64
	Progress      func(string) // called with the progress after each kill; may be nil
}

// FaultRunResult is the result of a FaultRun.
type FaultRunResult struct {
	Kills          int      `json:"kills"` // of processes
	Cuts           int      `json:"cuts"`  // silent losses of all messages to one replica
	KillsOfAll     int      `json:"all_at_once"`
	Writes         int      `json:"writes_answered"`
	RepeatedWrites int      `json:"writes_sent_again"` // attempts without an answer, which were repeated
	Reads          int      `json:"reads"`
	Lost           []string `json:"lost"` // missing writes, stale reads and faults of the lab; the first 20
}

// process is a replica and its processes, one after the other.
type process struct {
	name, dir string
	inbound   *relay.Link // relays the messages of other replicas
	cmd       *exec.Cmd
	client    *admin.Client
}

func (p *process) socket() string { return filepath.Join(p.dir, "s.sock") }

func (t *FaultRun) start(p *process) error {
	logFile, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(t.Program, append(append([]string{}, t.Args...), filepath.Join(p.dir, "op.toml"))...)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG=")
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.client = admin.Dial(p.socket())
	return p.cmd.Start()
}

func (p *process) kill() error {
	err := p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // returns an error, as the process was killed
	return err
}

// Run starts the replicas, and injects faults for t.Duration.
func (t *FaultRun) Run(ctx context.Context) (result FaultRunResult, err error) {
	if t.FaultInterval == 0 {
		t.FaultInterval = 2 * time.Second
	}
	if t.Writers == 0 {
		t.Writers = 8
	}
	dir, err := os.MkdirTemp(t.Dir, "store-torture-")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(dir)
	if err := keys.Init(filepath.Join(dir, "keys"), "torture"); err != nil {
		return result, err
	}
	var processes []*process
	defer func() {
		for _, p := range processes {
			err = errors.Join(err, p.kill())
			p.inbound.Close()
		}
	}()
	for i := range 3 {
		p, addr, err := t.prepare(dir, i)
		if err != nil {
			return result, err
		}
		if err := t.start(p); err != nil {
			return result, err
		}
		processes = append(processes, p)
		if err := t.addReplica(ctx, processes, i, addr); err != nil {
			return result, err
		}
	}
	t.runLoad(ctx, processes, &result)
	return result, nil
}

// prepare writes the keys and the operator file of a replica, and returns it with its address for other replicas.
func (t *FaultRun) prepare(dir string, number int) (*process, string, error) {
	p := &process{name: fmt.Sprintf("r%d", number), dir: filepath.Join(dir, fmt.Sprintf("r%d", number))}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	inbound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Join(err, listener.Close())
	}
	p.inbound = relay.New(listener.Addr().String(), t.Seed+uint64(number), relay.Conditions{})
	p.inbound.Listen(inbound)
	addr := inbound.Addr().String()
	operatorFile := fmt.Sprintf(
		"[store]\nname = %q\ndir = \"db\"\nsocket = \"s.sock\"\nlisten = %q\naddress = %q\nkeys = \"../keys\"\njoin = %v\n",
		p.name, listener.Addr(), addr, number > 0)
	return p, addr, errors.Join(
		listener.Close(),
		os.Mkdir(p.dir, 0o700),
		keys.Issue(filepath.Join(dir, "keys"), p.name, 24*time.Hour, false),
		os.WriteFile(filepath.Join(p.dir, "op.toml"), []byte(operatorFile), 0o600))
}

// addReplica adds a started replica to the cluster, and waits until it votes.
func (t *FaultRun) addReplica(ctx context.Context, processes []*process, number int, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	added := number == 0
	for ctx.Err() == nil {
		if !added {
			_, err := processes[0].client.Change(ctx, admin.ChangeRequest{
				ID:        store.RequestID{Client: 1 << 40, Seq: uint64(number)},
				AddMember: &store.AddMember{Name: processes[number].name, Address: addr},
			})
			added = err == nil
		}
		if status, err := processes[0].client.Status(ctx); err == nil && added &&
			status.MembershipStable && len(status.Peers) == number+1 && status.LeaderID != 0 {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("replica %d does not vote", number)
}

// runLoad writes, reads and injects faults for t.Duration. Then it checks that every key has the last value whose write
// was answered.
func (t *FaultRun) runLoad(ctx context.Context, processes []*process, result *FaultRunResult) {
	loadCtx, cancel := context.WithTimeout(ctx, t.Duration)
	defer cancel()
	var mu sync.Mutex
	answered := make([]int, t.Writers)
	addLoss := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		if len(result.Lost) < 20 {
			result.Lost = append(result.Lost, fmt.Sprintf(format, args...))
		}
	}
	clientOf := func(response int) *admin.Client { mu.Lock(); defer mu.Unlock(); return processes[response%3].client }
	var wg sync.WaitGroup
	for writer := range t.Writers {
		key := fmt.Sprintf("w%d", writer)
		wg.Go(func() { // repeats each request until it is answered, so that values increase without gaps
			for n := 1; loadCtx.Err() == nil; n++ {
				request := admin.ChangeRequest{
					ID: store.RequestID{Client: uint64(writer + 1), Seq: uint64(n)}, Txn: &store.Txn{
						Then: []store.Op{{Key: key, Value: strconv.AppendInt(nil, int64(n), 10)}}}}
				for attempt := writer; ; attempt++ {
					callCtx, cancelCall := context.WithTimeout(ctx, 3*time.Second)
					_, err := clientOf(attempt).Change(callCtx, request)
					cancelCall()
					if err == nil {
						break
					}
					if ctx.Err() != nil {
						return
					}
					mu.Lock()
					result.RepeatedWrites++
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
				mu.Lock()
				answered[writer] = n
				result.Writes++
				mu.Unlock()
			}
		})
		wg.Go(func() {
			for attempt := 0; loadCtx.Err() == nil; attempt++ {
				mu.Lock()
				answeredBefore := answered[writer]
				mu.Unlock()
				callCtx, cancelCall := context.WithTimeout(ctx, 3*time.Second)
				response, err := clientOf(attempt).Range(callCtx, url.Values{"key": {key}})
				cancelCall()
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				value := 0
				if len(response.Items) == 1 {
					value, _ = strconv.Atoi(string(response.Items[0].Value))
				}
				if value < answeredBefore {
					addLoss("a read of %s at replica %d gave %d, and %d had been answered before",
						key, attempt%3, value, answeredBefore)
				}
				mu.Lock()
				result.Reads++
				mu.Unlock()
			}
		})
	}
	rng := rand.New(rand.NewPCG(t.Seed, 1))
	for round := 0; loadCtx.Err() == nil; round++ {
		select {
		case <-loadCtx.Done():
			continue
		case <-time.After(t.FaultInterval/2 + rand.N(t.FaultInterval)):
		}
		if rng.IntN(3) == 0 {
			link := processes[rng.IntN(3)].inbound
			link.Update(func(callCtx *relay.Conditions) { callCtx.BlackHole = true })
			time.Sleep(t.FaultInterval/2 + rand.N(t.FaultInterval))
			link.Update(func(callCtx *relay.Conditions) { callCtx.BlackHole = false })
			result.Cuts++
			continue
		}
		killed := []int{round % 3}
		if rng.IntN(4) == 0 {
			killed = []int{0, 1, 2}
			result.KillsOfAll++
		}
		for _, number := range killed {
			if err := processes[number].kill(); err != nil {
				addLoss("kill: %v", err)
			}
			result.Kills++
		}
		rng.Shuffle(len(killed), func(response, j int) { killed[response], killed[j] = killed[j], killed[response] })
		for _, number := range killed {
			mu.Lock()
			err := t.start(processes[number])
			mu.Unlock()
			if err != nil {
				addLoss("start: %v", err)
			}
		}
		if t.Progress != nil {
			mu.Lock()
			t.Progress(fmt.Sprintf("%d kills, %d writes answered, %d reads, %d lost",
				result.Kills, result.Writes, result.Reads, len(result.Lost)))
			mu.Unlock()
		}
	}
	wg.Wait()
	for writer, n := range answered {
		var response admin.RangeResponse
		var err error
		for attempt := 0; attempt < 200; attempt++ {
			callCtx, cancelCall := context.WithTimeout(ctx, 3*time.Second)
			response, err = clientOf(attempt).Range(callCtx, url.Values{"key": {fmt.Sprintf("w%d", writer)}})
			cancelCall()
			if err == nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if err != nil || n > 0 && (len(response.Items) != 1 || string(response.Items[0].Value) != strconv.Itoa(n)) {
			addLoss("w%d: %d was answered, and at the end there is %v (%v)", writer, n, response.Items, err)
		}
	}
}
