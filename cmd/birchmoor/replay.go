package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/dataplane/replay"
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
	options, err := k.options(begin)
	if err != nil {
		return err
	}
	var decisions bytes.Buffer // to be compared with those of the other build
	if k.againstBuild() {
		options.Log = &decisions
	}
	closeDecisions, err := k.logDecisions(&options, c.out)
	if err != nil {
		return err
	}
	defer closeDecisions()
	var timeline *replay.Timeline
	if k.Timeline != "" {
		timeline = replay.NewTimeline(k.Timeline, begin)
		options.Sample, options.SampleInterval = timeline.Sample, replay.SampleIntervalMicros
	}
	r, err := replay.Play(ctx, files, options)
	if err != nil {
		return err
	}
	if err := k.report(c.out, r, timeline, begin); err != nil {
		return err
	}
	if k.againstSettings() {
		return nil // differences are expected
	}
	if k.againstBuild() {
		return k.compareBuild(ctx, c, files, decisions.Bytes())
	}
	if r.Differences > 0 || len(r.Faults) > 0 {
		return errRunFailed
	}
	return nil
}

// againstSettings reports whether the replay is compared with one under other settings.
func (k *replayCommand) againstSettings() bool { return strings.HasSuffix(k.Against, ".json") }

// againstBuild reports whether the replay is compared with that of another build.
func (k *replayCommand) againstBuild() bool { return k.Against != "" && !k.againstSettings() }

// options are those that the flags give for a capture that begins at begin.
func (k *replayCommand) options(begin balancer.Micros) (o replay.Options, err error) {
	o = replay.Options{Pace: k.Speed == "1x", Explain: k.Explain}
	o.From, err = parseInstant("--from", k.From, begin)
	if err != nil {
		return o, err
	}
	o.To, err = parseInstant("--to", k.To, begin)
	if err != nil {
		return o, err
	}
	if k.againstSettings() {
		o.Settings, err = readSettings(k.Against)
	}
	return o, err
}

// logDecisions has the decisions written where --decisions says. finish ends that.
func (k *replayCommand) logDecisions(o *replay.Options, out io.Writer) (finish func(), err error) {
	switch k.Decisions {
	case "":
		return func() {}, nil
	case "-":
		w := bufio.NewWriter(out)
		o.Log = teeWriter(o.Log, w)
		return func() { w.Flush() }, nil
	}
	f, err := os.Create(k.Decisions)
	if err != nil {
		return nil, err
	}
	w := bufio.NewWriter(f)
	o.Log = teeWriter(o.Log, w)
	return func() {
		w.Flush()
		f.Close()
	}, nil
}

// report writes the timeline, if there is one, and the result as JSON and for people.
func (k *replayCommand) report(
	out io.Writer, r *replay.Report, timeline *replay.Timeline, begin balancer.Micros,
) error {
	if timeline != nil {
		if err := timeline.Save(k.Out); err != nil {
			return err
		}
	}
	if k.JSON != "" {
		if err := writeJSON(k.JSON, r, out); err != nil {
			return err
		}
	}
	if k.JSON == "-" || k.Decisions == "-" {
		return nil
	}
	k.print(out, r, begin)
	if timeline != nil {
		fmt.Fprintln(out, k.Out)
	}
	return nil
}

// teeWriter writes to both, or to b alone if a is nil.
func teeWriter(a, b io.Writer) io.Writer {
	if a == nil {
		return b
	}
	return io.MultiWriter(a, b)
}

// captureFiles replaces the folders among paths by the capture files in them.
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

// parseInstant parses the value of a flag: a time of day, or a duration since begin. An empty text is 0.
func parseInstant(flag, text string, begin balancer.Micros) (balancer.Micros, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err == nil {
		return begin + d.Microseconds(), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is neither an instant such as 2026-12-01T10:04:05Z nor a duration such as 90s",
			flag, text)
	}
	return t.UnixMicro(), nil
}
