package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["unchanged"] = playUnchanged }

// replica is one of three daemons with a copy of the store, started as the deploy file for operators tells.
type replica struct {
	name, dir, file, socket string
	process                 *exec.Cmd
	ended                   chan struct{}
}

// storeCluster is three replicas on loopback addresses.
type storeCluster struct {
	w        *world
	program  string
	replicas []*replica
}

func (w *world) newCluster() (*storeCluster, error) {
	c := &storeCluster{w: w, program: filepath.Join(w.root, "review/bin/birchmoor")}
	if _, err := os.Stat(c.program); err != nil {
		return nil, err
	}
	var addrs []string
	for _, name := range []string{"a", "b", "c"} {
		addr, err := freeAddress()
		if err != nil {
			return nil, err
		}
		r := &replica{name: name, dir: filepath.Join(w.temp, name), file: filepath.Join(w.temp, name+".toml"),
			socket: filepath.Join(w.temp, name+".sock")}
		text := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nlisten = %q\nplain = true\n", name, r.dir, r.socket, addr)
		if name != "a" {
			text += "join = true\n"
		}
		if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		c.replicas, addrs = append(c.replicas, r), append(addrs, addr)
	}
	for i, r := range c.replicas {
		if err := c.start(r); err != nil {
			return nil, err
		}
		if i == 0 {
			continue
		}
		if out, err := c.call(c.replicas[0], "store", "add", r.name, addrs[i]); err != nil {
			return nil, fmt.Errorf("store add %s: %w: %s", r.name, err, out)
		}
		if err := c.settled(i + 1); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// start starts a replica's daemon: birchmoor run --config FILE.
func (c *storeCluster) start(r *replica) error {
	logFile, err := os.OpenFile(r.dir+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(c.program, "run", "--config", r.file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.w.temp, logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.w.addProcess(cmd)
	r.process, r.ended = cmd, make(chan struct{})
	c.w.rec.add("replica %s started, pid %d", r.name, cmd.Process.Pid)
	ended := r.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	for range 200 {
		if _, err := os.Stat(r.socket); err == nil {
			if _, err := c.call(r, "store", "status", "--json"); err == nil {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("replica %s doesn't answer", r.name)
}

// kill ends a replica's daemon at once.
func (c *storeCluster) kill(r *replica) {
	c.w.rec.add("replica %s: killed", r.name)
	_ = r.process.Process.Kill()
	<-r.ended
}

// call runs an operator's command at a replica and returns what it printed on standard output.
func (c *storeCluster) call(r *replica, args ...string) (string, error) {
	cmd := exec.Command(c.program, args...)
	cmd.Env = append(os.Environ(), "BIRCHMOOR_STORE="+r.socket)
	out, err := cmd.Output()
	return strings.TrimSpace(string(out)), err
}

// leader returns the replica that leads.
func (c *storeCluster) leader() *replica {
	for range 200 {
		for _, r := range c.replicas {
			out, err := c.call(r, "store", "status", "--timeout", "1s")
			if err != nil {
				continue
			}
			for line := range strings.Lines(out) {
				if f := strings.Fields(line); len(f) == 2 && f[0] == "state" && f[1] == "leads" {
					return r
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// settled waits until so many replicas vote and the change of members is settled.
func (c *storeCluster) settled(voters int) error {
	for range 300 {
		out, _ := c.call(c.replicas[0], "store", "members", "--timeout", "1s")
		status, _ := c.call(c.replicas[0], "store", "status", "--timeout", "1s")
		if strings.Count(out, " votes ")+strings.Count(out, " leads ") == voters && strings.Contains(status, "members settled      true") {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the members don't settle")
}

// item is a key as `store get --json` prints it.
type item struct {
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (i item) String() string { return fmt.Sprintf("%q, version %d", i.Value, i.Version) }

// get reads a key; an item of version 0 means that there is none.
func (c *storeCluster) get(r *replica, key string) (i item, err error) {
	for range 100 {
		out, callErr := c.call(r, "store", "get", key, "--json")
		var reply struct {
			Items []item `json:"items"`
		}
		err = callErr
		if json.Unmarshal([]byte(out), &reply) == nil && len(reply.Items) == 1 {
			return reply.Items[0], nil
		}
		var exit *exec.ExitError
		if errors.As(callErr, &exit) && exit.ExitCode() == 1 {
			return item{}, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return item{}, fmt.Errorf("get %s: %w", key, err)
}

// failure is what a command prints if a change failed: the outcome is "unchanged" or "unknown".
type failure struct{ Error, Outcome, Request string }

// put makes one change. If it fails, f is what the command says.
func (c *storeCluster) put(r *replica, key, value string) (f failure, err error) {
	out, err := c.call(r, "store", "put", key, value, "--json")
	c.w.rec.add("operator at %s: store put %s %s: %v %s", r.name, key, value, err, strings.Join(strings.Fields(out), " "))
	if err != nil {
		_ = json.Unmarshal([]byte(out), &f)
	}
	return f, err
}

// failedPut is a change that failed.
type failedPut struct {
	key string
	failure
}

// loseLeader kills the leader while operators write at it, starts it again, and returns the changes that failed.
func (c *storeCluster) loseLeader(round int, kill bool) (failed []failedPut, err error) {
	lead := c.leader()
	if lead == nil {
		return nil, errors.New("no replica leads")
	}
	var mu sync.Mutex
	var stop atomic.Bool
	var wg sync.WaitGroup
	for n := range 16 {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				key := fmt.Sprintf("slots/%d-%d-%d", round, n, i)
				f, err := c.put(lead, key, "first")
				if err != nil {
					mu.Lock()
					failed = append(failed, failedPut{key, f})
					mu.Unlock()
					return
				}
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	if kill {
		c.kill(lead)
	}
	stop.Store(true)
	wg.Wait()
	if kill {
		return failed, c.start(lead)
	}
	return failed, nil
}

// playUnchanged: three replicas are killed in turn, each while it leads and operators write at it. A command that fails
// says that nothing was changed, or that the outcome is unknown.
func playUnchanged(w *world) error {
	const rounds = 8
	c, err := w.newCluster()
	if err != nil {
		return err
	}
	var unchanged, unknown, made int
	for round := range rounds {
		failed, err := c.loseLeader(round, w.trouble)
		if err != nil {
			return err
		}
		for _, f := range failed {
			lead := c.leader()
			if lead == nil {
				return errors.New("no replica leads")
			}
			i, err := c.get(lead, f.key)
			if err != nil {
				return err
			}
			w.rec.add("%s: outcome %q, %s; the key is now %v", f.key, f.Outcome, f.Error, i)
			switch {
			case f.Outcome == "unknown":
				unknown++
			case f.Outcome == "unchanged":
				unchanged++
				if i.Version == 0 {
					continue
				}
				made++
				w.rec.say("%s: the operator was told that nothing was changed, but the key is now %v", f.key, i)
				if _, err := c.put(lead, f.key, "first"); err != nil {
					return err
				}
				if i, err = c.get(lead, f.key); err != nil {
					return err
				}
				w.rec.say("%s: the operator made the command again, and the key is now %v", f.key, i)
			}
		}
	}
	w.rec.say("%d commands said that nothing was changed, %d of them had made their change; %d said that the outcome is unknown",
		unchanged, made, unknown)
	if made > 0 {
		return fmt.Errorf("%w: %d changes were made of which the operator was told that nothing was changed", errBroken, made)
	}
	return nil
}
