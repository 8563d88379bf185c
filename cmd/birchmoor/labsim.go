package main

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"

	"birchmoor/internal/lab/sim"
)

type simCommand struct {
	Scenario        string `arg:"" type:"existingfile" help:"Scenario file, such as lab/scenarios/calm.toml."`
	Seed            uint64 `default:"1" help:"Seed of all random values."`
	Sidecars        int    `help:"Number of sidecars, in place of the scenario's; the total load stays the same."`
	LogLines        int    `name:"logs" help:"Number of lines of the decision modules' logs to print."`
	Profile         string `help:"File for a CPU profile of the simulation." placeholder:"FILE"`
	Capture         string `help:"Folder for a capture of the inputs and decisions of one sidecar's module." type:"path" placeholder:"DIR"`
	CapturedSidecar int    `name:"captured" help:"Number of the sidecar to capture." placeholder:"N"`
	resultFlags     `embed:""`
}

func (k *simCommand) Run(ctx context.Context, c *console) error {
	s, err := readScenario(k.Scenario, "sim")
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
	options := sim.Options{Seed: k.Seed, Progress: c.progress(s.Name), MaxLogLines: k.LogLines,
		TappedSidecar: k.CapturedSidecar}
	if k.Capture != "" {
		options.Tap = simTap(k.Capture, s, k.CapturedSidecar)
	}
	result, err := sim.Run(ctx, s, options)
	if err != nil {
		return err
	}
	for _, line := range result.Log {
		fmt.Fprintln(c.out, line)
	}
	return k.report(c, result)
}
