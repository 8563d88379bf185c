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

// Guards against a daemon that forgets its limits when it is killed right after they took effect. Such a daemon
// admitted every request until its copy of the store was updated. A follower or a replica that restarts alone admits no
// request under a strict limit.
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
		processtest.Until(t, d.Name()+" applies the limits", func() bool {
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
			t.Errorf("%s restarted alone and admitted %d requests under a limit that admits none without the store\n%s",
				d.Name(), n, d.Log())
		}
		d.Kill()
	}
}
