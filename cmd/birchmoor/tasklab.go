package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"birchmoor/internal/lab/tasklab"
)

type taskTorture struct {
	Dir      string        `help:"Folder for what it writes." default:"." type:"existingdir"`
	For      time.Duration `help:"Long." default:"1m"`
	Every    time.Duration `help:"A blow." default:"1s"`
	Replicas int           `help:"Daemons with a replica." default:"3"`
	Follow   int           `help:"Daemons without one." default:"2"`
	Holders  int           `help:"Locks at each daemon." default:"2"`
	TTL      time.Duration `help:"Of the locks." default:"2s"`
	Seed     uint64        `help:"Of what is done to whom." default:"1"`
	Plant    string        `help:"A fault of the program, which must be built with -tags planted: order-ignored, deadline-ignored, kept-late, released-first." placeholder:"NAME"`
	JSON     bool          `help:"As JSON."`
}

func (k *taskTorture) Help() string {
	return `Locks run actors that act upon a stand-in, which judges: no action takes effect after one with a higher token where tokens are
checked, and none anywhere but of actors that were themselves stopped. Exit code 1 if a promise broke.

Example:
  birchmoor task torture --for 10m --seed 7 --json`
}

func (k *taskTorture) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if k.Plant != "" && !isPlanted {
		return errors.New("--plant: this program was not built with -tags planted")
	}
	t := tasklab.Torture{Program: self, Dir: k.Dir, Replicas: k.Replicas, Follow: k.Follow, Holders: k.Holders, TTL: k.TTL, For: k.For, Every: k.Every,
		Seed: k.Seed, Plant: k.Plant, Say: func(s string) { fmt.Fprintln(c.err, s) }}
	r, err := t.Run(ctx)
	if r != nil && k.JSON {
		if bad := json.NewEncoder(c.out).Encode(r); bad != nil {
			return bad
		}
	} else if r != nil {
		fmt.Fprintf(c.out, "%d acts of %d holders, %d late of stopped actors, blows %v; without an action between two holders p50 %.0f ms, p99 %.0f, worst %.0f; broken: %q\n",
			r.Acts, r.Holders, r.Late, r.Blows, r.P50Ms, r.P99Ms, r.WorstMs, r.Broken)
	}
	if r != nil && !k.JSON {
		for _, a := range r.After {
			fmt.Fprintf(c.out, "after %s (%d): p50 %.0f ms, p99 %.0f, worst %.0f until the next acted\n", a.Blow, a.N, a.P50Ms, a.P99Ms, a.WorstMs)
		}
	}
	if err != nil {
		return err
	}
	if len(r.Broken) > 0 {
		return errMissed
	}
	return nil
}

// actorCommand is what a lock runs in task torture.
type actorCommand struct {
	To  string `arg:""`
	Who string `arg:""`
}

func (k *actorCommand) Run() error {
	return tasklab.Actor(k.To, k.Who, os.Getenv("BIRCHMOOR_TOKEN"), 5*time.Millisecond)
}
