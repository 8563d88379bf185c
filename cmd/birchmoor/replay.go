package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/dataplane/replay"
	"birchmoor/internal/platform/wire"
)

type replayCommand struct {
	File      []string `arg:"" type:"existing" help:"Capture files of one process in their order, or their folder."`
	From      string   `help:"From when on: 2026-12-01T10:04:05Z, or after the beginning: 90s." placeholder:"T"`
	To        string   `help:"Until when." placeholder:"T"`
	Speed     string   `enum:"1x,max" default:"max" help:"As fast as it happened (1x), or as it can (max)."`
	Against   string   `type:"existingfile" help:"Other settings (.json), or another build of this command." placeholder:"FILE"`
	Explain   uint64   `help:"Tell what was weighed for a request." placeholder:"REQUEST"`
	Timeline  string   `help:"Draw what was believed of a server." placeholder:"SERVER"`
	Out       string   `help:"File of the timeline (.svg)." default:"timeline.svg" type:"path" placeholder:"FILE"`
	Decisions string   `help:"Write the decisions there, a line each; - for standard output." placeholder:"FILE"`
	JSON      string   `help:"File for the report as JSON; - for standard output." placeholder:"FILE"`
}

func (k *replayCommand) Help() string {
	return `Examples:
  birchmoor replay captures/
  birchmoor replay captures/ --from 90s --to 2m --explain 1042
  birchmoor replay captures/ --timeline mid-3.2 --out mid.svg
  birchmoor replay captures/ --against config.json
  birchmoor replay captures/ --against old/birchmoor

The same build decides the same, byte for byte; exit code 1 says that it did not, or
that a file was damaged. With --against the replay is open loop: the module is told
what happened under the recorded decisions, so only the first difference means much.`
}

func (k *replayCommand) Run(ctx context.Context, c *console) error {
	files, err := captureFiles(k.File)
	if err != nil {
		return err
	}
	begin, err := replay.StartOf(files)
	if err != nil {
		return err
	}
	o := replay.Options{Pace: k.Speed == "1x", Explain: k.Explain}
	if o.From, err = parseInstant("--from", k.From, begin); err != nil {
		return err
	}
	if o.To, err = parseInstant("--to", k.To, begin); err != nil {
		return err
	}
	var decisions bytes.Buffer
	if k.Against != "" && !strings.HasSuffix(k.Against, ".json") {
		o.Log = &decisions
	} else if k.Against != "" {
		if o.Settings, err = readSettings(k.Against); err != nil {
			return err
		}
	}
	switch {
	case k.Decisions == "-":
		w := bufio.NewWriter(c.out)
		defer w.Flush()
		o.Log = teeWriter(o.Log, w)
	case k.Decisions != "":
		f, err := os.Create(k.Decisions)
		if err != nil {
			return err
		}
		defer f.Close()
		w := bufio.NewWriter(f)
		defer w.Flush()
		o.Log = teeWriter(o.Log, w)
	}
	var t *replay.Timeline
	if k.Timeline != "" {
		t = replay.NewTimeline(k.Timeline, begin)
		o.Sample, o.SampleInterval = t.Sample, replay.SampleIntervalMicros
	}
	r, err := replay.Files(ctx, files, o)
	if err != nil {
		return err
	}
	if t != nil {
		if err := t.Save(k.Out); err != nil {
			return err
		}
	}
	if k.JSON != "" {
		if err := writeJSON(k.JSON, r, c.out); err != nil {
			return err
		}
	}
	if k.JSON != "-" && k.Decisions != "-" {
		k.print(c.out, r, begin)
		if t != nil {
			fmt.Fprintln(c.out, k.Out)
		}
	}
	if o.Settings != nil {
		return nil // to differ is what it is for
	}
	if k.Against != "" {
		return k.compareBuild(ctx, c, files, decisions.Bytes())
	}
	if r.Differences > 0 || len(r.Faults) > 0 {
		return errRunFailed
	}
	return nil
}

func teeWriter(a io.Writer, b io.Writer) io.Writer {
	if a == nil {
		return b
	}
	return io.MultiWriter(a, b)
}

// captureFiles expands folders.
func captureFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		list, err := capture.Files(path, "")
		if err != nil {
			return nil, err
		}
		if len(list) == 0 {
			return nil, fmt.Errorf("%s: holds no capture", path)
		}
		files = append(files, list...)
	}
	return files, nil
}

// parseInstant reads a time of the day, or one after the beginning.
func parseInstant(flag, text string, begin balancer.Micros) (balancer.Micros, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return begin + d.Microseconds(), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is neither an instant such as 2026-12-01T10:04:05Z nor a duration such as 90s", flag, text)
	}
	return t.UnixMicro(), nil
}

// readSettings reads settings: those of a sidecar's configuration, or the object alone.
func readSettings(path string) (*balancer.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	raw := json.RawMessage(text)
	if len(file.Settings) > 0 {
		raw = file.Settings
	}
	lines, err := wire.SettingsText(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s, err := wire.ParseSettings(lines)
	if err == nil {
		err = s.Validate()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// compareBuild has another build replay the same files, and tells where its decisions first differ.
func (k *replayCommand) compareBuild(ctx context.Context, c *console, files []string, mine []byte) error {
	path, err := filepath.Abs(k.Against)
	if err != nil {
		return err
	}
	args := append([]string{"replay", "--decisions", "-"}, files...)
	for flag, v := range map[string]string{"--from": k.From, "--to": k.To} {
		if v != "" {
			args = append(args, flag, v)
		}
	}
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Stderr = c.err
	theirs, err := cmd.Output()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) && exit.ExitCode() == exitFailure {
		err = nil // it does not decide as recorded, which is what is asked
	}
	if err != nil {
		return fmt.Errorf("%s: %w", k.Against, err)
	}
	a, b := strings.Split(string(mine), "\n"), strings.Split(string(theirs), "\n")
	for i := range max(len(a), len(b)) {
		x, y := "(nothing more)", "(nothing more)"
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) {
			y = b[i]
		}
		if x != y {
			fmt.Fprintf(c.out, "the builds differ first at decision %d (open loop: what follows follows from that)\n  this  %s\n  other %s\n", i+1, x, y)
			return errRunFailed
		}
	}
	fmt.Fprintf(c.out, "both builds decide the same\n")
	return nil
}

func (k *replayCommand) print(w io.Writer, r *replay.Report, begin balancer.Micros) {
	at := func(t balancer.Micros) string { return fmt.Sprintf("%.6f s", float64(t-begin)/1e6) }
	fmt.Fprintf(w, "%d segments, %d inputs, %d decisions from %s to %s, digest %s\n", r.Segments, r.Inputs, r.Decisions,
		at(r.From), at(r.To), r.Digest)
	if r.Gaps > 0 {
		fmt.Fprintf(w, "%d gaps, %d records lost in them\n", r.Gaps, r.Lost)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "not readable:", f)
	}
	for _, x := range r.Explanations {
		fmt.Fprintf(w, "\nat %s: %s\n", at(x.At), x.Input)
		for _, d := range x.Decisions {
			fmt.Fprintln(w, "  decided:", d)
		}
		sort.SliceStable(x.Candidates, func(i, j int) bool { return x.Candidates[i].Cost < x.Candidates[j].Cost })
		fmt.Fprintf(w, "  %-20s %6s %6s %8s %9s %9s %7s %7s %s\n", "server", "load", "own", "pace", "expected", "limit", "errors", "latency", "avoided")
		for _, c := range x.Candidates {
			pooled := " "
			if c.Pooled {
				pooled = "*"
			}
			fmt.Fprintf(w, "  %-19s%s %6.1f %6d %8.2f %6.0f ms %6.0f ms %7.2f %7.2f %s\n", c.Server, pooled, c.Load, c.Inflight, c.Pace,
				c.Predicted/1000, c.Limit/1000, c.ErrorChance, c.LatencyChance, strings.Join(c.Exclusions, "; "))
		}
		fmt.Fprintln(w, "  (* has a fresh load answer; least cost first)")
	}
	if k.Explain > 0 && len(r.Explanations) == 0 {
		fmt.Fprintf(w, "request %d is not decided upon there\n", k.Explain)
	}
	if d := r.First; d != nil {
		how := ""
		if k.Against != "" {
			how = " (open loop: what follows follows from that)"
		}
		fmt.Fprintf(w, "%d differences, the first at %s%s: %s\n", r.Differences, at(d.At), how, d.Input)
		for _, s := range d.Recorded {
			fmt.Fprintln(w, "  recorded:", s)
		}
		for _, s := range d.Replayed {
			fmt.Fprintln(w, "  replayed:", s)
		}
	} else if len(r.Faults) == 0 {
		fmt.Fprintln(w, "all decisions are as recorded")
	}
}
