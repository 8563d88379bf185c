package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/rig"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/sim"
	"birchmoor/internal/lab/stats"
	"birchmoor/internal/lab/told"
)

type compareCommand struct {
	A        string   `arg:"" type:"existingfile" help:"Scenario (.toml), settings that replace those of the scenarios (.json), or a sidecar program."`
	B        string   `arg:"" type:"existingfile" help:"File of the same kind to compare with."`
	Scenario []string `type:"existingfile" help:"Scenarios to run if A and B are settings or programs." placeholder:"FILE"`
	Seeds    int      `default:"8" help:"Number of pairs of runs for each scenario."`
	Seed     uint64   `default:"1" help:"First seed."`
	Host     string   `enum:"run,sim,auto" default:"auto" help:"Host of the runs: run, sim, or auto (run for programs, otherwise sim)."`
	Bin      string   `type:"existingfile" help:"The sidecar program if A and B are not programs; without it, the file sidecar next to this program." placeholder:"PATH"`
	JSON     string   `help:"File for the result as JSON; - for standard output." placeholder:"FILE"`
}

// side is A or B of a comparison: the scenarios that it runs, and the sidecar program.
type side struct {
	name      string
	scenarios []*scenario.Scenario
	bin       string
}

// comparison is the result of lab compare, as --json writes it.
type comparison struct {
	A       string                      `json:"a"`
	B       string                      `json:"b"`
	Host    string                      `json:"host"`
	Void    int                         `json:"void"` // pairs left out because the lab was late
	Broken  [2]int                      `json:"runs_that_broke_rules"`
	Figures map[string]stats.Difference `json:"figures"`
}

func (k *compareCommand) Help() string {
	return `Examples:
  birchmoor lab compare old/sidecar bin/sidecar --scenario lab/scenarios/burst.toml
  birchmoor lab compare a.json b.json --scenario lab/scenarios/burst.toml --seeds 20
  birchmoor lab compare one.toml other.toml

A settings file holds settings that replace those of the scenario, such as {"limits":{"most-tries":1}}. A key that the
settings do not have is an error.`
}

func (k *compareCommand) Run(ctx context.Context, c *console) error {
	sides, host, err := k.sides()
	if err != nil {
		return err
	}
	if k.Seeds < 1 {
		return fmt.Errorf("--seeds: %d is less than 1", k.Seeds)
	}
	out := comparison{A: k.A, B: k.B, Host: host, Figures: map[string]stats.Difference{}}
	values := [2]map[string][]float64{{}, {}}
	showProgress := c.runsProgress("compare")
	done, total := 0, len(sides)*len(sides[0].scenarios)*k.Seeds
	for n := range sides[0].scenarios {
		for seed := k.Seed; seed < k.Seed+uint64(k.Seeds); seed++ {
			var pair [2]*figures.Result
			for i := range sides { // A and B alternate
				showProgress(done, total)
				pair[i], err = runScenario(ctx, sides[i].scenarios[n], host, sides[i].bin, seed)
				if err != nil {
					return err
				}
				done++
			}
			out.add(pair, &values)
		}
	}
	c.clear()
	for name := range values[0] {
		if len(values[0][name]) == len(values[1][name]) {
			out.Figures[name] = stats.Compare(values[0][name], values[1][name])
		}
	}
	if k.JSON != "" {
		err := writeJSON(k.JSON, &out, c.out)
		if err != nil || k.JSON == "-" {
			return err
		}
	}
	out.print(c)
	if out.Broken[0]+out.Broken[1] > 0 {
		return errRunFailed
	}
	return nil
}

// add counts the runs of a pair that broke rules, and adds the figures of both to values. It leaves the figures out if
// the lab was late in one of the runs.
func (o *comparison) add(pair [2]*figures.Result, values *[2]map[string][]float64) {
	for i, result := range pair {
		if !result.Verdict.Passed() {
			o.Broken[i]++
		}
	}
	if pair[0].Void != "" || pair[1].Void != "" {
		o.Void++
		return
	}
	for i, result := range pair {
		for name, v := range result.Figures {
			values[i][name] = append(values[i][name], v)
		}
	}
}

// print prints a table of the figures with the 95% confidence interval of B - A.
func (o *comparison) print(c *console) {
	fmt.Fprintf(c.out, "A %s, B %s, by %s\n", o.A, o.B, o.Host)
	fmt.Fprintf(c.out, "%-22s %10s %10s %11s   %-25s %s\n", "figure", "A", "B", "B - A", "95% interval", "")
	for _, name := range slices.Sorted(maps.Keys(o.Figures)) {
		d := o.Figures[name]
		outcome := "no difference found"
		switch {
		case d.Significant && d.Mean > 0:
			outcome = "B is higher"
		case d.Significant:
			outcome = "B is lower"
		}
		interval := fmt.Sprintf("%+.4f to %+.4f", d.Low, d.High)
		fmt.Fprintf(c.out, "%-22s %10.4f %10.4f %+11.4f   %-25s %s\n", name, d.A, d.B, d.Mean, interval, outcome)
	}
	if o.Void > 0 {
		fmt.Fprintf(c.out, "%d pairs were left out because the lab was late\n", o.Void)
	}
	d := o.Figures["service"]
	fmt.Fprintf(c.out, "service %.3f and %.3f over %d pairs, rules broken in %d and %d runs\n",
		d.A, d.B, d.N, o.Broken[0], o.Broken[1])
}

// sides returns the two sides to compare, and the host on which to run them: "run" or "sim".
func (k *compareCommand) sides() (sides [2]side, host string, err error) {
	kind := strings.ToLower(filepath.Ext(k.A))
	if kind != strings.ToLower(filepath.Ext(k.B)) {
		return sides, "", fmt.Errorf("%s and %s are not of the same kind", k.A, k.B)
	}
	programs := kind != ".toml" && kind != ".json"
	host = k.Host
	switch {
	case host == "auto" && programs:
		host = "run"
	case host == "auto":
		host = "sim"
	case host == "sim" && programs:
		return sides, "", errors.New("programs run only on host run: sim runs the decision module of this program")
	}
	bin := k.Bin
	if host == "run" && bin == "" && !programs {
		bin, err = rig.Program()
		if err != nil {
			return sides, "", err
		}
	}
	if kind != ".toml" && len(k.Scenario) == 0 {
		return sides, "", errors.New("--scenario is missing: settings and programs need scenarios to run")
	}
	for i, path := range [2]string{k.A, k.B} {
		sides[i] = side{name: path, bin: bin}
		if programs {
			sides[i].bin, err = filepath.Abs(path)
			if err != nil {
				return sides, "", err
			}
		}
		sides[i].scenarios, err = k.scenarios(path, kind, host)
		if err != nil {
			return sides, "", err
		}
	}
	return sides, host, nil
}

// scenarios reads the scenarios of A or B, whose file is at path: that file itself if it is a scenario, otherwise those
// of --scenario. A settings file at path replaces settings of these scenarios.
func (k *compareCommand) scenarios(path, kind, host string) (scenarios []*scenario.Scenario, err error) {
	files := k.Scenario
	if kind == ".toml" {
		files = []string{path}
	}
	for _, file := range files {
		s, err := readScenario(file, host)
		if err != nil {
			return nil, err
		}
		if kind == ".json" {
			s.Overlay, err = readOverlay(path, s)
			if err != nil {
				return nil, err
			}
		}
		scenarios = append(scenarios, s)
	}
	return scenarios, nil
}

// readOverlay reads settings that replace those of a scenario. It sets them in s, to check that the result is valid.
func readOverlay(path string, s *scenario.Scenario) (map[string]any, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var overlay map[string]any
	if err := json.Unmarshal(text, &overlay); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	unknown := told.UnknownKeys(s, overlay)
	if len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %s: the settings have no such key", path, strings.Join(unknown, ", "))
	}
	s.Overlay = overlay
	if _, err := told.ModuleSettings(s, 0); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return overlay, nil
}

func runScenario(ctx context.Context, s *scenario.Scenario, host, bin string, seed uint64) (*figures.Result, error) {
	if host == "sim" {
		return sim.Run(ctx, s, sim.Options{Seed: seed})
	}
	return rig.Run(ctx, s, rig.Options{Seed: seed, Bin: bin})
}
