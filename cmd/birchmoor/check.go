package main

import (
	"fmt"

	"birchmoor/internal/controlplane/operatorconfig"
)

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Operator file to check."`
}

func (k *checkCommand) Run(c *console) error {
	file, err := operatorconfig.Read(k.File)
	if err != nil {
		return err
	}
	if file.DNS != nil {
		if _, err := dnsSettings(file.DNS); err != nil {
			return fmt.Errorf("%s: %w", k.File, err)
		}
	}
	fmt.Fprintf(c.out, "%s: no errors\n", k.File)
	return nil
}
