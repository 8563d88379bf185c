package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/report"
)

type reportCommand struct {
	Dir string `arg:"" type:"existingdir" help:"Folder that lab run or lab sim wrote with --out."`
	Out string `help:"File to write; without it, report.html in that folder." type:"path" placeholder:"FILE"`
}

func (k *reportCommand) Run(c *console) error {
	path := filepath.Join(k.Dir, "result.json")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var x figures.Result
	if err := json.Unmarshal(text, &x); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if x.Verdict == nil {
		return fmt.Errorf("%s: has no verdict; is it a result of lab run or lab sim?", path)
	}
	if k.Out == "" {
		k.Out = filepath.Join(k.Dir, "report.html")
	}
	f, err := os.Create(k.Out)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := report.Write(f, &x); err != nil {
		return err
	}
	fmt.Fprintln(c.out, k.Out)
	return f.Close()
}
