package main

import (
	"fmt"

	"birchmoor/internal/controlplane/operatorconfig"
)

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Operator file."`
}

func (k *checkCommand) Run(c *console) error {
	f, err := operatorconfig.Read(k.File)
	if err != nil {
		return err
	}
	if f.DNS != nil {
		if _, err := dnsSettings(f.DNS); err != nil {
			return fmt.Errorf("%s: %w", k.File, err)
		}
	}
	fmt.Fprintf(c.out, "%s: no faults\n", k.File)
	return nil
}
