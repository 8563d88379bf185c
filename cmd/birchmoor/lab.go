package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/pprof"

	"golang.org/x/term"

	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/rig"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/sim"
)

type labCommands struct {
	Run       runCommand       `cmd:"" help:"Play a scenario in real time: the program as processes, on real sockets."`
	Sim       simCommand       `cmd:"" help:"Play a scenario in virtual time, with the decision module of each sidecar."`
	Compare   compareCommand   `cmd:"" help:"Play two binaries, settings files or scenarios over the same seeds, in turn."`
	Sweep     sweepCommand     `cmd:"" help:"Play a scenario at several sizes in virtual time, and tell which cost grows with what."`
	Bench     benchCommand     `cmd:"" help:"Measure no proxy, Go's reverse proxy and the sidecar side by side."`
	DNS       labDNSCommand    `cmd:"" help:"Play name look-ups through the sidecar's DNS front, among stand-in resolvers."`
	DNSBench  dnsBenchCommand  `cmd:"" help:"Measure asking directly, a plain forwarder and the sidecar side by side."`
	DNSPeer   dnsPeerCommand   `cmd:"" hidden:""`
	Report    reportCommand    `cmd:"" help:"Draw a run as one HTML file."`
	BenchPeer benchPeerCommand `cmd:"" hidden:""`
	Scale     scaleCommand     `cmd:"" help:"Run a fleet far larger than the machine: real daemons beside hollow ones, and what each role costs."`
	Hollow    hollowCommand    `cmd:"" hidden:""`
	Chain     chainCommand     `cmd:"" help:"Play a row of sidecars: the time that it adds, the time left that it passes on, and attempts at a leaf that fails."`
}

// console is where a command prints.
type console struct{ out, err io.Writer }

// progress shows how far a run is: one line that changes on a terminal, a line now and then elsewhere.
func (c *console) progress(name string) func(second, asked int) {
	f, ok := c.err.(*os.File)
	live := ok && term.IsTerminal(int(f.Fd()))
	return func(second, asked int) {
		switch {
		case live:
			fmt.Fprintf(c.err, "\r%s: second %d, %d requests\x1b[K", name, second, asked)
		case second%10 == 0:
			fmt.Fprintf(c.err, "%s: second %d, %d requests\n", name, second, asked)
		}
	}
}

// count shows how many of a number of things are done.
func (c *console) count(name string) func(done, of int) {
	f, ok := c.err.(*os.File)
	live := ok && term.IsTerminal(int(f.Fd()))
	return func(done, of int) {
		if live {
			fmt.Fprintf(c.err, "\r%s: %d of %d\x1b[K", name, done, of)
		} else {
			fmt.Fprintf(c.err, "%s: %d of %d\n", name, done, of)
		}
	}
}

func (c *console) clear() {
	if f, ok := c.err.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		fmt.Fprint(c.err, "\r\x1b[K")
	}
}

type output struct {
	Out  string `help:"Folder for the result and what the report needs." type:"path" placeholder:"DIR"`
	JSON string `help:"File for the result as JSON; - for standard output." placeholder:"FILE"`
}

// finish prints a result and keeps it where it was asked for.
func (o *output) finish(c *console, x *figures.Result) error {
	c.clear()
	if o.Out != "" {
		if err := os.MkdirAll(o.Out, 0o755); err != nil {
			return err
		}
		if err := writeJSON(filepath.Join(o.Out, "result.json"), x, c.out); err != nil {
			return err
		}
	}
	if o.JSON != "" {
		if err := writeJSON(o.JSON, x, c.out); err != nil {
			return err
		}
	}
	if o.JSON != "-" {
		printResult(c.out, x)
	}
	if !x.Passed() {
		return errMissed
	}
	return nil
}

func writeJSON(path string, x any, out io.Writer) error {
	text, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		return err
	}
	if path == "-" {
		_, err = out.Write(append(text, '\n'))
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// fleetWords say what a figure of a fleet is.
var fleetWords = map[string]string{"probes": "probes a server and second", "handshakes": "handshakes", "connections": "connections of the cap",
	"shut": "turned away at the cap", "cold": "cold work of what pushes over",
	"ramp": "cold work in a window of N + 2 roots of N + 2", "calls": "calls of discovery a second",
	"call_wait_ms": "their wait in ms"}

// printResult prints a run's figures; its last line is the verdict.
func printResult(w io.Writer, x *figures.Result) {
	fmt.Fprintf(w, "%s: %d sidecars, %d servers, %.0f s by %s, seed %d\n", x.Scenario, x.Sidecars, x.Servers, x.Length, x.Host, x.Seed)
	fmt.Fprintf(w, "%-14s %8s %8s %8s %8s %8s %9s\n", "class", "asked", "service", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms")
	for _, c := range x.Classes {
		fmt.Fprintf(w, "%-14s %8d %8.3f %8.1f %8.1f %8.1f %9.1f\n", c.Name, c.Tasks, c.Service, c.P50, c.P90, c.P99, c.P999)
	}
	n, f := x.Verdict.Counts, x.Figures
	fmt.Fprintf(w, "requests: asked %d = served %d + refused %d + failed %d + gone %d", n.Asked, n.Served, n.Refused, n.Failed, n.Gone)
	if n.Excused+n.Unheard > 0 {
		fmt.Fprintf(w, " (%d with a sidecar that was killed, %d unheard)", n.Excused, n.Unheard)
	}
	fmt.Fprintf(w, "\nfor each that clients want: %.2f tries, %.2f attempts, %.3f turned away, %.3f connections opened, %.2f probes\n",
		f["tries_per_task"], f["attempts_per_task"], f["turned_per_task"], f["connects_per_task"], f["probes_per_task"])
	fmt.Fprintf(w, "over all sidecars, mean and worst:")
	for i, l := range x.Fleet {
		if i > 0 {
			fmt.Fprint(w, ",")
		}
		fmt.Fprintf(w, " %s %.3g and %.3g", fleetWords[l.Name], l.Mean, l.Worst)
	}
	fmt.Fprintln(w)
	fmt.Fprintf(w, "attempts into other zones %.3f, worst 10 s %.3f, took %.1f s, at most %.0f MB", f["crossings"], x.Worst10s, x.Took, x.MemoryMB)
	if x.Host == "run" {
		fmt.Fprintf(w, ", the lab itself late by %.1f ms (99.9%%), %.1f at most", x.LateP999, x.LateMost)
	}
	fmt.Fprintln(w)
	for _, b := range x.Verdict.Breaches {
		fmt.Fprintf(w, "broken at %.3f s: %s: request %x, sidecar %d, server %d: %s\n", float64(b.At)/1e6, b.Rule, b.Request, b.Sidecar, b.Server, b.Text)
	}
	for _, m := range x.Missed {
		fmt.Fprintln(w, "missed:", m)
	}
	fmt.Fprintln(w, x.Line())
}

// load reads a scenario and sees that a host can play it.
func load(path, host string) (*scenario.Scenario, error) {
	s, err := scenario.Read(path)
	if err != nil {
		return nil, err
	}
	if !s.On(host) {
		return nil, fmt.Errorf("%s: can be played by %v only", path, s.Hosts)
	}
	return s, nil
}

type runCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"Scenario file, such as lab/scenarios/calm.toml."`
	Seed     uint64 `default:"1" help:"All that is drawn comes from it."`
	Bin      string `help:"The sidecar program; without it, sidecar beside this command." type:"existingfile" placeholder:"PATH"`
	output   `embed:""`
}

func (k *runCommand) Run(ctx context.Context, c *console) error {
	s, err := load(k.Scenario, "run")
	if err != nil {
		return err
	}
	if k.Bin == "" {
		if k.Bin, err = rig.Program(); err != nil {
			return err
		}
	}
	x, err := rig.Run(ctx, s, rig.Options{Seed: k.Seed, Bin: k.Bin, Dir: k.Out, Progress: c.progress(s.Name)})
	if err != nil {
		return err
	}
	return k.finish(c, x)
}

type simCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"Scenario file, such as lab/scenarios/calm.toml."`
	Seed     uint64 `default:"1" help:"All that is drawn comes from it."`
	Sidecars int    `help:"So many sidecars in place of the scenario's; the load stays."`
	Logs     int    `help:"Print so many lines of the modules' logs."`
	Profile  string `help:"Write a CPU profile of the simulation there." placeholder:"FILE"`
	Capture  string `help:"Folder for a capture of what one sidecar's module is told and answers." type:"path" placeholder:"DIR"`
	Captured int    `help:"The sidecar that is captured." placeholder:"N"`
	output   `embed:""`
}

func (k *simCommand) Run(ctx context.Context, c *console) error {
	s, err := load(k.Scenario, "sim")
	if err != nil {
		return err
	}
	if k.Sidecars > 0 {
		if err := s.SetSidecars(k.Sidecars); err != nil {
			return err
		}
	}
	if k.Profile != "" {
		f, err := os.Create(k.Profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	o := sim.Options{Seed: k.Seed, Progress: c.progress(s.Name), Logs: k.Logs, Tapped: k.Captured}
	if k.Capture != "" {
		o.Tap = simTap(k.Capture, s, k.Captured)
	}
	x, err := sim.Run(ctx, s, o)
	if err != nil {
		return err
	}
	for _, line := range x.Log {
		fmt.Fprintln(c.out, line)
	}
	return k.finish(c, x)
}
