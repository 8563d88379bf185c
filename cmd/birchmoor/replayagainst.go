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

// readSettings reads and validates the settings in a JSON file, which is either the settings object itself or a
// sidecar's configuration with that object under the key settings.
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

// compareBuild runs another build to replay the same files, and prints the first decision in which it differs from own,
// the decisions of this build.
func (k *replayCommand) compareBuild(ctx context.Context, c *console, files []string, ownDecisions []byte) error {
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
	cmd.Stderr = c.errOut
	other, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitFailure {
		err = nil // the other build decides otherwise than recorded; the comparison below shows where
	}
	if err != nil {
		return fmt.Errorf("%s: %w", k.Against, err)
	}
	ownLines, otherLines := strings.Split(string(ownDecisions), "\n"), strings.Split(string(other), "\n")
	for i := range max(len(ownLines), len(otherLines)) {
		ownLine, otherLine := lineOrEnd(ownLines, i), lineOrEnd(otherLines, i)
		if ownLine != otherLine {
			fmt.Fprintf(c.out,
				"the builds differ first at decision %d (open loop: later differences may follow from it)\n"+
					"  this  %s\n  other %s\n", i+1, ownLine, otherLine)
			return errRunFailed
		}
	}
	fmt.Fprintf(c.out, "both builds make the same decisions\n")
	return nil
}

func lineOrEnd(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(nothing more)"
}
