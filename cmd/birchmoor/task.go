package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/user"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/store/admin"
)

func encodeJSON(v any) ([]byte, error) { return json.Marshal(v) }

type taskCommands struct {
	List    taskList    `cmd:"" help:"List the fleet's tasks, and who holds them."`
	Show    taskShow    `cmd:"" help:"Show one task with all who wait for it."`
	Pause   taskPause   `cmd:"" help:"Have nobody hold a task until it is resumed."`
	Resume  taskResume  `cmd:"" help:"Take back what pause or move said."`
	Move    taskMove    `cmd:"" help:"Have a host hold a task whenever it asks for it."`
	Sim     taskSim     `cmd:"" help:"Play holders of tasks in the store's simulation, many seeds."`
	Check   taskCheck   `cmd:"" help:"Enumerate all interleavings of two holders and the store, up to a depth."`
	Measure taskMeasure `cmd:"" help:"What leases cost the store, by the size of the fleet."`
	Torture taskTorture `cmd:"" help:"Kill, stop and cut daemons as processes under holders of a task, and look for two who act at once."`
}

type taskList struct{ clientFlags }

// showTasks asks for tasks.
func (s *clientFlags) showTasks(ctx context.Context, c *console, name string, show func([]leasetask.TaskStatus) error) error {
	return s.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		all, err := a.Tasks(ctx, name)
		var told *admin.ResponseError
		if errors.As(err, &told) && told.Status == 404 {
			fmt.Fprintln(c.err, err)
			return errRunFailed
		}
		if err != nil {
			return err
		}
		return show(all)
	})
}

// taskHolder says who holds a task, or why nobody does.
func taskHolder(i leasetask.TaskStatus) (host, token string) {
	n := 0
	for _, p := range i.Queue {
		if p.Holds {
			if n++; n == 1 {
				host, token = p.Host, fmt.Sprint(p.Token)
			}
		}
	}
	switch {
	case n == 0:
		return "-", "-"
	case n > 1:
		return fmt.Sprintf("%s and %d more", host, n-1), "-"
	}
	return host, token
}

func lastReport(i leasetask.TaskStatus) string {
	switch {
	case i.LastReport == nil:
		return "-"
	case i.LastReport.Error != "":
		return fmt.Sprintf("failed %s ago: %s", formatAge(i.LastReportAgeMillis), i.LastReport.Error)
	}
	return fmt.Sprintf("%d done, told %s ago", i.LastReport.Completed, formatAge(i.LastReportAgeMillis))
}

func (k *taskList) Run(ctx context.Context, c *console) error {
	return k.showTasks(ctx, c, "", func(all []leasetask.TaskStatus) error {
		return k.print(c, all, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "TASK\tHOLDER\tTOKEN\tSLOTS\tPLACES\tLAST\tNOTE")
			for _, i := range all {
				host, token := taskHolder(i)
				note := i.NoHolderReason
				if note == "" && i.Override.PreferredHost != "" {
					note = "given to " + i.Override.PreferredHost
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n", i.Task, host, token, max(1, i.Slots), len(i.Queue), lastReport(i), note)
			}
		})
	})
}

type taskShow struct {
	clientFlags
	Task string `arg:"" help:"Its name."`
}

func (k *taskShow) Run(ctx context.Context, c *console) error {
	return k.showTasks(ctx, c, k.Task, func(all []leasetask.TaskStatus) error {
		return k.print(c, all[0], func(w *tabwriter.Writer) {
			i := all[0]
			host, token := taskHolder(i)
			for _, x := range [][2]any{{"task", i.Task}, {"holder", host}, {"token", token}, {"slots", max(1, i.Slots)}, {"last", lastReport(i)}} {
				fmt.Fprintf(w, "%v\t%v\n", x[0], x[1])
			}
			if i.NoHolderReason != "" {
				fmt.Fprintf(w, "why none\t%s\n", i.NoHolderReason)
			}
			if i.Override.PreferredHost != "" {
				fmt.Fprintf(w, "given to\t%s, by %s\n", i.Override.PreferredHost, i.Override.Operator)
			}
			if i.LocalState != "" {
				fmt.Fprintf(w, "this daemon\t%s\n", i.LocalState)
			}
			fmt.Fprintln(w, "\nHOST\tTOKEN\tSTATE\tSINCE\tENTITLED FOR\tTTL\tNOTE")
			for _, p := range i.Queue {
				state, left := "waits", "-"
				if p.Holds {
					state = "holds"
				}
				if p.ValidMillis > 0 {
					left = (time.Duration(p.ValidMillis) * time.Millisecond).String()
				}
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%v\t%s\n", p.Host, p.Token, state, formatAge(p.AgeMillis), left, time.Duration(p.TTLMillis)*time.Millisecond, p.Note)
			}
		})
	})
}

// overrideTask puts an order on a task.
func (s *clientFlags) overrideTask(ctx context.Context, c *console, task string, o lease.TaskOverride) error {
	if u, err := user.Current(); err == nil {
		o.Operator = u.Username // for people alone
	}
	return s.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		if err := a.OverrideTask(ctx, adminapi.OverrideRequest{Task: task, TaskOverride: o}); err != nil {
			return s.changeFailed(ctx, c, err, "")
		}
		if s.JSON {
			return json.NewEncoder(c.out).Encode(o)
		}
		return nil
	})
}

type taskPause struct {
	clientFlags
	Task string `arg:"" help:"Its name."`
	Note string `help:"Why, for others." placeholder:"TEXT"`
}

func (k *taskPause) Help() string {
	return `Its holder is asked to release it, and ends what it does; one that hears nothing loses it with its session. The task stays
paused until it is resumed; "task list" shows it, and by whom.`
}

func (k *taskPause) Run(ctx context.Context, c *console) error {
	return k.overrideTask(ctx, c, k.Task, lease.TaskOverride{Pause: true, Note: k.Note})
}

type taskResume struct {
	clientFlags
	Task string `arg:"" help:"Its name."`
}

func (k *taskResume) Run(ctx context.Context, c *console) error {
	return k.overrideTask(ctx, c, k.Task, lease.TaskOverride{})
}

type taskMove struct {
	clientFlags
	Task string `arg:"" help:"Its name."`
	Host string `arg:"" help:"Daemon that is to hold it."`
	Note string `help:"Why, for others." placeholder:"TEXT"`
}

func (k *taskMove) Help() string {
	return `The holder, and those who wait before the host, go behind it, once it has asked for the task; until then nothing changes. This
holds until "task resume": the host has the task whenever it wants it.`
}

func (k *taskMove) Run(ctx context.Context, c *console) error {
	return k.overrideTask(ctx, c, k.Task, lease.TaskOverride{PreferredHost: k.Host, Note: k.Note})
}
