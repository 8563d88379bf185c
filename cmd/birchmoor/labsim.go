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
	Seed            uint64 `default:"1" help:"All that is drawn comes from it."`
	Sidecars        int    `help:"So many sidecars in place of the scenario's; the load stays."`
	LogLines        int    `name:"logs" help:"Print so many lines of the modules' logs."`
	Profile         string `help:"Write a CPU profile of the simulation there." placeholder:"FILE"`
	Capture         string `help:"Folder for a capture of what one sidecar's module is told and answers." type:"path" placeholder:"DIR"`
	CapturedSidecar int    `name:"captured" help:"The sidecar that is captured." placeholder:"N"`
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
	options := sim.Options{Seed: k.Seed, Progress: c.progress(s.Name), MaxLogLines: k.LogLines, TappedSidecar: k.CapturedSidecar}
	if k.Capture != "" {
		options.Tap = simTap(k.Capture, s, k.CapturedSidecar)
	}
	x, err := sim.Run(ctx, s, options)
	if err != nil {
		return err
	}
	for _, line := range x.Log {
		fmt.Fprintln(c.out, line)
	}
	return k.report(c, x)
}
