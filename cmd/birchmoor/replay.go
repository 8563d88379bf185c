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
	File      []string `arg:"" type:"existing" help:"Capture files of one process in order, or the folder that contains them."`
	From      string   `help:"Start of the replay: a time such as 2026-12-01T10:04:05Z, or a duration since the beginning such as 90s." placeholder:"T"`
	To        string   `help:"End of the replay, given like --from." placeholder:"T"`
	Speed     string   `enum:"1x,max" default:"max" help:"Speed of the replay: real time (1x), or as fast as possible (max)."`
	Against   string   `type:"existingfile" help:"Settings (.json) to replay with, or another build of this program to compare with." placeholder:"FILE"`
	Explain   uint64   `help:"Id of a request whose candidate servers are printed." placeholder:"REQUEST"`
	Timeline  string   `help:"Name of a server whose state in the module is drawn as a timeline." placeholder:"SERVER"`
	Out       string   `help:"File for the timeline (.svg)." default:"timeline.svg" type:"path" placeholder:"FILE"`
	Decisions string   `help:"File for the decisions, one per line; - for standard output." placeholder:"FILE"`
	JSON      string   `help:"File for the report as JSON; - for standard output." placeholder:"FILE"`
}

func (k *replayCommand) Help() string {
	return `Examples:
  birchmoor replay captures/
  birchmoor replay captures/ --from 90s --to 2m --explain 1042
  birchmoor replay captures/ --timeline mid-3.2 --out mid.svg
  birchmoor replay captures/ --against config.json
  birchmoor replay captures/ --against old/birchmoor

The same build must make the same decisions, byte for byte; exit code 1 if it does not, or if a file is damaged. With
--against the replay is open loop: the module gets the inputs that followed the recorded decisions, so only the first
difference is meaningful.`
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
	var decisions bytes.Buffer // for the comparison with another build
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
	report, err := replay.Play(ctx, files, options)
	if err != nil {
		return err
	}
	if err := k.report(c.out, report, timeline, begin); err != nil {
		return err
	}
	if k.againstSettings() {
		return nil // differences are expected
	}
	if k.againstBuild() {
		return k.compareBuild(ctx, c, files, decisions.Bytes())
	}
	if report.Differences > 0 || len(report.Faults) > 0 {
		return errRunFailed
	}
	return nil
}

// againstSettings reports whether --against names settings to replay with.
func (k *replayCommand) againstSettings() bool { return strings.HasSuffix(k.Against, ".json") }

// againstBuild reports whether --against names another build to compare with.
func (k *replayCommand) againstBuild() bool { return k.Against != "" && !k.againstSettings() }

// options returns the replay options that the flags set, for a capture that begins at begin.
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

// logDecisions makes the replay write its decisions to the file of --decisions, or to out. finish flushes and closes
// it.
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

// report writes the timeline, unless it is nil, and the report, as JSON and as text. It prints no text if the JSON or
// the decisions go to out.
func (k *replayCommand) report(
	out io.Writer, report *replay.Report, timeline *replay.Timeline, begin balancer.Micros,
) error {
	if timeline != nil {
		if err := timeline.Save(k.Out); err != nil {
			return err
		}
	}
	if k.JSON != "" {
		if err := writeJSON(k.JSON, report, out); err != nil {
			return err
		}
	}
	if k.JSON == "-" || k.Decisions == "-" {
		return nil
	}
	k.print(out, report, begin)
	if timeline != nil {
		fmt.Fprintln(out, k.Out)
	}
	return nil
}

// teeWriter returns a writer that writes to both a and b, or to b alone if a is nil.
func teeWriter(a, b io.Writer) io.Writer {
	if a == nil {
		return b
	}
	return io.MultiWriter(a, b)
}

// captureFiles returns paths with each folder replaced by the capture files in it.
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
			return nil, fmt.Errorf("%s: contains no capture files", path)
		}
		files = append(files, list...)
	}
	return files, nil
}

// parseInstant parses the value of a flag, which is an RFC 3339 time or a duration since begin. It returns 0 for "".
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
		return 0, fmt.Errorf("%s: %q is neither a time such as 2026-12-01T10:04:05Z nor a duration such as 90s",
			flag, text)
	}
	return t.UnixMicro(), nil
}
