package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
)

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

// showTasks shows the task with this name, or all tasks if it is empty.
func (s *clientFlags) showTasks(
	ctx context.Context, c *console, name string, show func([]leasetask.TaskStatus) error,
) error {
	return s.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		all, err := a.Tasks(ctx, name)
		if isNotFound(err) {
			fmt.Fprintln(c.err, err)
			return errRunFailed
		}
		if err != nil {
			return err
		}
		return show(all)
	})
}

// taskHolder says who holds a task and by which token; "-" stands for none, or for the tokens of several.
func taskHolder(t leasetask.TaskStatus) (host, token string) {
	var holders []leasetask.QueueEntryStatus
	for _, entry := range t.Queue {
		if entry.Holds {
			holders = append(holders, entry)
		}
	}
	switch len(holders) {
	case 0:
		return "-", "-"
	case 1:
		return holders[0].Host, strconv.FormatUint(holders[0].Token, 10)
	}
	return fmt.Sprintf("%s and %d more", holders[0].Host, len(holders)-1), "-"
}

// lastReport says what the last holder reported, and when.
func lastReport(t leasetask.TaskStatus) string {
	switch {
	case t.LastReport == nil:
		return "-"
	case t.LastReport.Error != "":
		return fmt.Sprintf("failed %s ago: %s", formatAge(t.LastReportAgeMillis), t.LastReport.Error)
	}
	return fmt.Sprintf("%d done, told %s ago", t.LastReport.Completed, formatAge(t.LastReportAgeMillis))
}

func (k *taskList) Run(ctx context.Context, c *console) error {
	return k.showTasks(ctx, c, "", func(all []leasetask.TaskStatus) error {
		return k.print(c, all, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "TASK\tHOLDER\tTOKEN\tSLOTS\tPLACES\tLAST\tNOTE")
			for _, t := range all {
				host, token := taskHolder(t)
				note := t.NoHolderReason
				if note == "" && t.Override.PreferredHost != "" {
					note = "given to " + t.Override.PreferredHost
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
					t.Task, host, token, max(1, t.Slots), len(t.Queue), lastReport(t), note)
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
		return k.print(c, all[0], func(w *tabwriter.Writer) { printTask(w, all[0]) })
	})
}

// printTask prints a task and its queue.
func printTask(w io.Writer, t leasetask.TaskStatus) {
	host, token := taskHolder(t)
	printRows(w, []row{
		{"task", t.Task},
		{"holder", host},
		{"token", token},
		{"slots", max(1, t.Slots)},
		{"last", lastReport(t)},
	})
	if t.NoHolderReason != "" {
		fmt.Fprintf(w, "why none\t%s\n", t.NoHolderReason)
	}
	if t.Override.PreferredHost != "" {
		fmt.Fprintf(w, "given to\t%s, by %s\n", t.Override.PreferredHost, t.Override.Operator)
	}
	if t.LocalState != "" {
		fmt.Fprintf(w, "this daemon\t%s\n", t.LocalState)
	}
	fmt.Fprintln(w, "\nHOST\tTOKEN\tSTATE\tSINCE\tENTITLED FOR\tTTL\tNOTE")
	for _, entry := range t.Queue {
		state, left := "waits", "-"
		if entry.Holds {
			state = "holds"
		}
		if entry.ValidMillis > 0 {
			left = (time.Duration(entry.ValidMillis) * time.Millisecond).String()
		}
		ttl := time.Duration(entry.TTLMillis) * time.Millisecond
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%v\t%s\n",
			entry.Host, entry.Token, state, formatAge(entry.AgeMillis), left, ttl, entry.Note)
	}
}

// overrideTask sets what an operator wants of a task in place of what it was.
func (s *clientFlags) overrideTask(ctx context.Context, c *console, task string, o lease.TaskOverride) error {
	o.Operator = operatorName("")
	return s.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		err := a.OverrideTask(ctx, adminapi.OverrideRequest{Task: task, TaskOverride: o})
		if err != nil {
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
