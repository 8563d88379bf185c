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
	List    taskList    `cmd:"" help:"List the tasks of the fleet and their holders."`
	Show    taskShow    `cmd:"" help:"Show one task with its holders and waiters."`
	Pause   taskPause   `cmd:"" help:"Pause a task: no host holds it until it is resumed."`
	Resume  taskResume  `cmd:"" help:"Remove the override of pause or move."`
	Move    taskMove    `cmd:"" help:"Give a task to a host whenever that host claims it."`
	Sim     taskSim     `cmd:"" help:"Simulate holders of tasks on a simulated store with many seeds."`
	Check   taskCheck   `cmd:"" help:"Check all interleavings of two holders and the store, up to a depth."`
	Measure taskMeasure `cmd:"" help:"Measure what leases cost the store, by the size of the fleet."`
	Torture taskTorture `cmd:"" help:"Kill, stop and partition daemon processes under holders of a task, and check that no two holders act at once."`
}

type taskList struct{ clientFlags }

// showTasks calls show with the task of this name, or with all tasks if name is empty.
func (s *clientFlags) showTasks(
	ctx context.Context, c *console, name string, show func([]leasetask.TaskStatus) error,
) error {
	return s.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		tasks, err := client.Tasks(ctx, name)
		if isNotFound(err) {
			fmt.Fprintln(c.errOut, err)
			return errRunFailed
		}
		if err != nil {
			return err
		}
		return show(tasks)
	})
}

// taskHolder returns the host that holds a task and its token as text. Without a holder both are "-"; with several
// holders, host names one of them and token is "-".
func taskHolder(task leasetask.TaskStatus) (host, token string) {
	var holders []leasetask.QueueEntryStatus
	for _, entry := range task.Queue {
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

// lastReport returns what the last holder reported, and how long ago, or "-" if there is no report.
func lastReport(task leasetask.TaskStatus) string {
	switch {
	case task.LastReport == nil:
		return "-"
	case task.LastReport.Error != "":
		return fmt.Sprintf("failed %s ago: %s", formatAge(task.LastReportAgeMillis), task.LastReport.Error)
	}
	return fmt.Sprintf("%d done, reported %s ago", task.LastReport.Completed, formatAge(task.LastReportAgeMillis))
}

func (k *taskList) Run(ctx context.Context, c *console) error {
	return k.showTasks(ctx, c, "", func(tasks []leasetask.TaskStatus) error {
		return k.print(c, tasks, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "TASK\tHOLDER\tTOKEN\tSLOTS\tPLACES\tLAST\tNOTE")
			for _, task := range tasks {
				host, token := taskHolder(task)
				note := task.NoHolderReason
				if note == "" && task.Override.PreferredHost != "" {
					note = "given to " + task.Override.PreferredHost
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
					task.Task, host, token, max(1, task.Slots), len(task.Queue), lastReport(task), note)
			}
		})
	})
}

type taskShow struct {
	clientFlags
	Task string `arg:"" help:"Name of the task."`
}

func (k *taskShow) Run(ctx context.Context, c *console) error {
	return k.showTasks(ctx, c, k.Task, func(tasks []leasetask.TaskStatus) error {
		return k.print(c, tasks[0], func(w *tabwriter.Writer) { printTask(w, tasks[0]) })
	})
}

// printTask prints a task and its queue entries.
func printTask(w io.Writer, task leasetask.TaskStatus) {
	host, token := taskHolder(task)
	printRows(w, []row{
		{"task", task.Task},
		{"holder", host},
		{"token", token},
		{"slots", max(1, task.Slots)},
		{"last", lastReport(task)},
	})
	if task.NoHolderReason != "" {
		fmt.Fprintf(w, "why none\t%s\n", task.NoHolderReason)
	}
	if task.Override.PreferredHost != "" {
		fmt.Fprintf(w, "given to\t%s, by %s\n", task.Override.PreferredHost, task.Override.Operator)
	}
	if task.LocalState != "" {
		fmt.Fprintf(w, "this daemon\t%s\n", task.LocalState)
	}
	fmt.Fprintln(w, "\nHOST\tTOKEN\tSTATE\tSINCE\tENTITLED FOR\tTTL\tNOTE")
	for _, entry := range task.Queue {
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

// overrideTask replaces the override of a task.
func (s *clientFlags) overrideTask(ctx context.Context, c *console, task string, override lease.TaskOverride) error {
	override.Operator = operatorName("")
	return s.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		err := client.OverrideTask(ctx, adminapi.OverrideRequest{Task: task, TaskOverride: override})
		if err != nil {
			return s.changeFailed(ctx, c, err, "")
		}
		if s.JSON {
			return json.NewEncoder(c.out).Encode(override)
		}
		return nil
	})
}

type taskPause struct {
	clientFlags
	Task string `arg:"" help:"Name of the task."`
	Note string `help:"Reason, shown to other operators." placeholder:"TEXT"`
}

func (k *taskPause) Help() string {
	return `The holder is asked to end its work and release the task. A holder that cannot be reached loses the task when
its session ends. The task stays paused until "task resume"; "task list" shows that it is paused, and by whom.`
}

func (k *taskPause) Run(ctx context.Context, c *console) error {
	return k.overrideTask(ctx, c, k.Task, lease.TaskOverride{Pause: true, Note: k.Note})
}

type taskResume struct {
	clientFlags
	Task string `arg:"" help:"Name of the task."`
}

func (k *taskResume) Run(ctx context.Context, c *console) error {
	return k.overrideTask(ctx, c, k.Task, lease.TaskOverride{})
}

type taskMove struct {
	clientFlags
	Task string `arg:"" help:"Name of the task."`
	Host string `arg:"" help:"Name of the daemon that gets the task."`
	Note string `help:"Reason, shown to other operators." placeholder:"TEXT"`
}

func (k *taskMove) Help() string {
	return `Once the host claims the task, it goes ahead of the holder and of all waiters. Until then nothing changes. The
override stays in effect until "task resume": the host gets the task whenever it claims it.`
}

func (k *taskMove) Run(ctx context.Context, c *console) error {
	return k.overrideTask(ctx, c, k.Task, lease.TaskOverride{PreferredHost: k.Host, Note: k.Note})
}
