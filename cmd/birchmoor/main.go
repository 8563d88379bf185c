// Command birchmoor serves as the sidecar and as the daemon, and is the command line of operators and of the lab.
//
// Each verb, or family of verbs, has a file named after it: flags are the fields of its struct, and Run does the work
// by way of the packages under internal/, all of which this one may import. What verbs share is in console.go
// (progress and JSON), storeclient.go (calls of a running daemon), labresult.go (results of lab runs), seeds.go
// (simulations) and exitcodes.go. The name of a field is its flag, unless a tag names that.
//
// Exit codes are 0 for success, 1 for a run that missed its figures or broke a rule, 2 for bad input and 130 for an
// interrupt; lock has more.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"birchmoor/internal/lab/scale"
)

// commands are the verbs. Hidden ones are for processes that the program starts itself.
type commands struct {
	Sidecar sidecarCommand `cmd:"" help:"Serve: the sidecar, with what an operator file turns on."`
	Run     daemonCommand  `cmd:"" help:"Serve as the daemon: the sidecar and the replicated store, as an operator file says."`
	Check   checkCommand   `cmd:"" help:"Name every fault of an operator file."`
	Store   storeCommands  `cmd:"" help:"Ask a running daemon's store, and tell it."`
	Task    taskCommands   `cmd:"" help:"Tasks that one daemon, or so many, do for the whole fleet."`
	Limit   limitCommands  `cmd:"" help:"Limits that hold for the whole fleet."`
	Lock    lockCommand    `cmd:"" help:"Run a command that the fleet runs once at a time."`
	Keeper  keeperCommand  `cmd:"" hidden:""`
	Actor   actorCommand   `cmd:"" hidden:""`
	Config  configCommands `cmd:"" help:"The settings of the data path that the store holds."`
	DNS     dnsCommands    `cmd:"" help:"Ask a name server, or the DNS front of a sidecar."`
	Keys    keysCommands   `cmd:"" help:"Make and rotate the keys by which replicas of the store know each other."`
	Lab     labCommands    `cmd:"" help:"Play the booking system: the sidecar among servers, clients and faults of our own."`
	Replay  replayCommand  `cmd:"" help:"Play a capture again: what the decision module was told, and whether it decides the same."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the command line and returns the exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	const notExited = -1
	var c commands
	code := notExited
	parser, err := kong.New(&c,
		kong.Name("birchmoor"),
		kong.Description("birchmoor: a client-side load-balancing sidecar, and the lab that shows what it does."),
		kong.Writers(out, errs),
		kong.Exit(func(n int) { code = n }),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Vars{"scaleFaults": strings.Join(scale.FaultNames(), ", ")})
	if err != nil {
		panic(err) // the tags of commands are wrong
	}
	parsed, err := parser.Parse(args)
	if code != notExited {
		return code // the parser has printed help
	}
	if err == nil {
		parsed.BindTo(ctx, (*context.Context)(nil))
		err = parsed.Run(&console{out: out, err: errs})
	}
	return exitCode(ctx, err, errs)
}

// exitCode prints an error, unless that is done, and returns its exit code.
func exitCode(ctx context.Context, err error, errs io.Writer) int {
	var withCode *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &withCode):
		if withCode.err != nil {
			fmt.Fprintln(errs, "birchmoor:", withCode.err)
		}
		return withCode.code
	case errors.Is(err, errRunFailed):
		return exitFailure
	case ctx.Err() != nil:
		fmt.Fprintln(errs, "birchmoor: stopped")
		return exitInterrupted
	}
	fmt.Fprintln(errs, "birchmoor:", err)
	return exitUsage
}
