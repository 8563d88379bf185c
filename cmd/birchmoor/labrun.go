package main

import (
	"context"
	"fmt"

	"birchmoor/internal/lab/rig"
	"birchmoor/internal/lab/scenario"
)

// readScenario reads a scenario that is to run on a host, "run" or "sim", and returns an error if it does not support
// that host.
func readScenario(path, host string) (*scenario.Scenario, error) {
	s, err := scenario.Read(path)
	if err != nil {
		return nil, err
	}
	if !s.RunsOn(host) {
		return nil, fmt.Errorf("%s: supports only the hosts %v", path, s.Hosts)
	}
	return s, nil
}

type runCommand struct {
	Scenario    string `arg:"" type:"existingfile" help:"Scenario file, such as lab/scenarios/calm.toml."`
	Seed        uint64 `default:"1" help:"Seed of all random values."`
	Bin         string `help:"The sidecar program; without it, the file sidecar next to this program." type:"existingfile" placeholder:"PATH"`
	resultFlags `embed:""`
}

func (k *runCommand) Run(ctx context.Context, c *console) error {
	s, err := readScenario(k.Scenario, "run")
	if err != nil {
		return err
	}
	if k.Bin == "" {
		k.Bin, err = rig.Program()
		if err != nil {
			return err
		}
	}
	options := rig.Options{Seed: k.Seed, Bin: k.Bin, Dir: k.Out, Progress: c.progress(s.Name)}
	result, err := rig.Run(ctx, s, options)
	if err != nil {
		return err
	}
	return k.report(c, result)
}
