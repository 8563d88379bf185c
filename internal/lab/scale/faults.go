package scale

import (
	"context"
	"time"
)

// Fault is one that a run may end with.
type Fault struct {
	Name  string
	About string
	play  func(ctx context.Context, r *run) (what string, at time.Time, err error) // returns when all who can be reached could be right again
}

// Faults are all kinds, in their order.
var Faults = []Fault{
	{"start", "all sidecars begin at once", nil},
}

// FaultNames lists them.
func FaultNames() (all []string) {
	for _, f := range Faults {
		all = append(all, f.Name)
	}
	return all
}

func faultOf(name string) *Fault {
	for i := range Faults {
		if Faults[i].Name == name {
			return &Faults[i]
		}
	}
	return nil
}

// fault plays one.
func (r *run) fault(ctx context.Context, f *Fault, x *Result) error {
	r.meter.begin(ctx)
	what, at, err := f.play(ctx, r)
	if err != nil {
		r.meter.end()
		return err
	}
	took, err := r.right(ctx, at, rightMost)
	pause(ctx, 3*time.Second) // what comes of it, too
	x.Fault = &FaultResult{Name: f.Name, What: what, Right: took.Seconds(), Roles: r.meter.end().roles()}
	if err != nil {
		x.Fault.Missed = err.Error()
		return ctx.Err()
	}
	r.say("%s: all are right again %.1f s after", f.Name, took.Seconds())
	return ctx.Err()
}
