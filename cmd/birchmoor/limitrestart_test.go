package main

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/testutil/processtest"
)

// Guards against a daemon that forgets the limits it went by when it is killed right after they came in force: it
// admitted everything until its copy came again. Neither a follower nor a replica that starts alone admits anything by
// a strict limit.
func TestLimitsOutliveKillRightAfterTheyTakeEffect(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	f := startFleet(ctx, t, fleetlab.Config{
		Replicas: 3, Followers: 2, Servers: 1, FirstCopyTimeout: time.Millisecond,
		ExtraOperatorConfig: "[limits]\nlease = \"1s\"\ntell = \"50ms\"\n",
	})
	defer f.End()
	limits, err := quota.ParseFile("limits.toml", []byte("[limit.look]\nrate = 10.0\npaths = [\"/look\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Daemons[0].Client.PutLimits(ctx, limits); err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Daemons {
		processtest.Until(t, d.Name()+" goes by the limits", func() bool {
			status, err := d.Client.Limits(ctx, "")
			return err == nil && len(status.Limits) == 1
		}, d.Log)
	}
	for _, d := range f.Daemons {
		d.Kill()
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, d := range f.Daemons {
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
		if err := d.Ready(ctx); err != nil {
			t.Fatal(err)
		}
		for n := range 50 {
			d.SendRequest(ctx, client, fmt.Sprintf("%020x", n))
		}
		if n := f.Servers[0].RequestCount(d.Number); n > 0 {
			t.Errorf("%s starts alone and lets %d requests through, by a limit that allows none without the store\n%s",
				d.Name(), n, d.Log())
		}
		d.Kill()
	}
}
