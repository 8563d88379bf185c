package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"birchmoor/internal/lab/soak"
)

type soakCommand struct {
	Seeds    string        `help:"First and last seed." default:"1-10" placeholder:"FROM-TO"`
	Duration time.Duration `name:"for" help:"Duration of each run." default:"20s"`
	Beside   int           `help:"Number of runs at once. Rules with a bound in real time are checked only in runs where the lab itself was not late." default:"1"`
	Schedule string        `name:"play" help:"File with a schedule to run, in place of those generated from seeds." type:"existingfile" placeholder:"FILE"`
	Defect   string        `name:"plant" help:"Defect to inject into the sidecars, for programs built with -tags planted; list prints the names." placeholder:"NAME"`
	Out      string        `help:"Folder for the schedules of seeds that broke a rule." default:"." type:"existingdir"`
	JSON     string        `help:"File to which each result is appended as a line of JSON." placeholder:"FILE"`
}

func (k *soakCommand) Help() string {
	return `Runs five daemons with sidecars under load while they get series of signals, are killed and stopped, are
partitioned, run out of disk space and have servers drained, by a schedule that is generated from each seed. A kill
comes at the earliest moment that the platform allows, and clients use their connections until then. In one of four
seeds idle clients take all descriptors. The rules are checked on what clients and servers saw. Exit code 1 if a rule
was broken; the schedule of such a seed is written to a file, and can be shortened by hand.

Examples:
  birchmoor lab soak --seeds 1-50 --for 20s --json soak.json
  birchmoor lab soak --play soak-7.json`
}

func (k *soakCommand) Run(ctx context.Context, c *console) error {
	if k.Defect == listDefects {
		for _, d := range soak.Defects {
			fmt.Fprintf(c.out, "%s\t%s; breaks: %s\n", d.Name, d.About, d.Rule)
		}
		return nil
	}
	defect, known := soak.FindDefect(k.Defect)
	switch {
	case k.Defect != "" && !known:
		return unknownDefectError(k.Defect)
	case k.Defect != "" && !isDefectBuild:
		return errNoDefectBuild
	}
	schedules, err := k.schedules()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	options := soak.Options{Program: self, Args: []string{"run", "--config"}, Dir: os.TempDir(), RealTime: true}
	if k.Defect != "" {
		options.Env = defect.Env()
	}
	broken := 0
	err = runSoak(ctx, options, schedules, k.Beside, func(s *soak.Schedule, r *soak.Result, err error) error {
		if err != nil {
			return fmt.Errorf("seed %d: %w", s.Seed, err)
		}
		if len(r.Counts) > 0 {
			broken++
		}
		return k.report(c, s, r)
	})
	if err == nil && broken > 0 {
		fmt.Fprintf(c.out, "%d of %d runs broke a rule\n", broken, len(schedules))
		return errRunFailed
	}
	return err
}

// schedules returns the schedules to run: that of --play, or one for each seed.
func (k *soakCommand) schedules() ([]*soak.Schedule, error) {
	if k.Schedule != "" {
		s := &soak.Schedule{}
		return []*soak.Schedule{s}, readJSON(k.Schedule, s)
	}
	from, to, err := parseSeedRange(k.Seeds)
	if err != nil {
		return nil, err
	}
	if k.Beside < 1 || k.Duration < time.Second {
		return nil, fmt.Errorf("--beside %d and --for %v: the minimum is 1 and 1s", k.Beside, k.Duration)
	}
	var schedules []*soak.Schedule
	for seed := from; seed <= to; seed++ {
		schedules = append(schedules, soak.Draw(seed, k.Duration, soak.Daemons, soak.Servers))
	}
	return schedules, nil
}

// report prints a result and appends it to the file of --json. It writes the schedule to a file if a rule was broken,
// unless the schedule came from a file.
func (k *soakCommand) report(c *console, schedule *soak.Schedule, result *soak.Result) error {
	fmt.Fprintf(c.out, "seed %d: %d requests, %d answered, %d served; %d actions, %d restarts,"+
		" the slowest ready after %d ms; the lab %d ms late\n", result.Seed, result.Requests, result.Answered,
		result.Served, result.ActionsDone, result.Restarts, result.SlowestReady, result.LabLateMs)
	for _, rule := range slices.Sorted(maps.Keys(result.Counts)) {
		fmt.Fprintf(c.out, "  broken: %s, %d times\n", rule, result.Counts[rule])
	}
	for _, v := range result.Violations {
		fmt.Fprintf(c.out, "    %s: %s\n", v.Rule, v.Detail)
	}
	if len(result.Counts) > 0 && k.Schedule == "" {
		path := fmt.Sprintf("%s/soak-%d.json", k.Out, result.Seed)
		if err := writeJSON(path, schedule, c.out); err != nil {
			return err
		}
		fmt.Fprintf(c.out, "  again: birchmoor lab soak --play %s\n", path)
	}
	if k.JSON == "" {
		return nil
	}
	return appendJSONLine(k.JSON, result)
}

// runSoak runs schedules, up to parallel of them at once, and calls onResult with each result, one at a time. After an
// error of onResult it cancels the other runs, and returns the first error.
func runSoak(ctx context.Context, options soak.Options, schedules []*soak.Schedule, parallel int,
	onResult func(*soak.Schedule, *soak.Result, error) error,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	type played struct {
		schedule *soak.Schedule
		result   *soak.Result
		err      error
	}
	results := make(chan played)
	slots := make(chan struct{}, parallel)
	go func() {
		for _, s := range schedules {
			slots <- struct{}{}
			go func() {
				runOptions := options
				runOptions.Schedule = s
				r, err := soak.Run(ctx, runOptions)
				<-slots
				results <- played{s, r, err}
			}()
		}
	}()
	for range schedules {
		outcome := <-results
		if err := onResult(outcome.schedule, outcome.result, outcome.err); err != nil {
			cancel(err)
		}
	}
	return context.Cause(ctx)
}
