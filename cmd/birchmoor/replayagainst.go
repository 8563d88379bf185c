package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"birchmoor/balancer"
	"birchmoor/internal/platform/wire"
)

// readSettings reads settings from a file: the object alone, or a sidecar's configuration that has it.
func readSettings(path string) (*balancer.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := parseSettings(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func parseSettings(text json.RawMessage) (*balancer.Settings, error) {
	var configuration struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &configuration); err != nil {
		return nil, err
	}
	if len(configuration.Settings) > 0 {
		text = configuration.Settings
	}
	lines, err := wire.SettingsText(text)
	if err != nil {
		return nil, err
	}
	s, err := wire.ParseSettings(lines)
	if err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

// compareBuild has another build replay the same files, and prints where its decisions first differ from own.
func (k *replayCommand) compareBuild(ctx context.Context, c *console, files []string, own []byte) error {
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
	other, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitFailure {
		err = nil // the other build does not decide as recorded, which is what is to be found
	}
	if err != nil {
		return fmt.Errorf("%s: %w", k.Against, err)
	}
	a, b := strings.Split(string(own), "\n"), strings.Split(string(other), "\n")
	for i := range max(len(a), len(b)) {
		x, y := lineOrEnd(a, i), lineOrEnd(b, i)
		if x != y {
			fmt.Fprintf(c.out, "the builds differ first at decision %d (open loop: what follows follows from that)\n"+
				"  this  %s\n  other %s\n", i+1, x, y)
			return errRunFailed
		}
	}
	fmt.Fprintf(c.out, "both builds decide the same\n")
	return nil
}

func lineOrEnd(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(nothing more)"
}
