// Command birchmoor runs the sidecar and the daemon, and is the command line for operators and for the lab.
//
// Each command, or group of commands, has a file named after it. The fields of its struct are its flags, and its Run
// method does the work with the packages under internal/, all of which this package may import. Code that several
// commands share is in console.go (progress and JSON output), storeclient.go (calls to a running daemon), labresult.go
// (results of lab runs), seeds.go (simulations) and exitcodes.go. A flag has the name of its field in kebab case
// unless a name tag sets another.
//
// Exit codes are 0 for success, 1 for a run that missed its figures or broke a rule, 2 for invalid input and 130 for
// an interrupt. The lock command has further ones.
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

// commands are the top-level commands. The program starts the hidden ones itself, as child processes.
type commands struct {
	Sidecar sidecarCommand `cmd:"" help:"Run the sidecar, with the features that an operator file enables."`
	Run     daemonCommand  `cmd:"" help:"Run the daemon: the sidecar and the replicated store, as configured by an operator file."`
	Check   checkCommand   `cmd:"" help:"Check an operator file and list its errors."`
	Store   storeCommands  `cmd:"" help:"Read and change the store of a running daemon."`
	Task    taskCommands   `cmd:"" help:"Show and override tasks that one daemon, or a fixed number of them, runs for the whole fleet."`
	Limit   limitCommands  `cmd:"" help:"Show and change limits that apply to the whole fleet."`
	Lock    lockCommand    `cmd:"" help:"Run a command under a lock of the fleet, so that it runs only once at a time."`
	Keeper  keeperCommand  `cmd:"" hidden:""`
	Actor   actorCommand   `cmd:"" hidden:""`
	Config  configCommands `cmd:"" help:"Show and change the data path settings in the store."`
	DNS     dnsCommands    `cmd:"" help:"Query a name server, or the DNS front of a sidecar."`
	Keys    keysCommands   `cmd:"" help:"Create and rotate the keys with which replicas of the store authenticate each other."`
	Lab     labCommands    `cmd:"" help:"Test the sidecar in a lab with simulated servers, clients and faults."`
	Replay  replayCommand  `cmd:"" help:"Replay a capture: pass its recorded inputs to the decision module, and compare the decisions."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs a command line, args without the program name, and returns the exit code. Commands print on out; errors
// and progress go to errs.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	const notExited = -1
	var cli commands
	code := notExited
	parser, err := kong.New(&cli,
		kong.Name("birchmoor"),
		kong.Description("birchmoor: a client-side load-balancing sidecar, and a lab that tests it."),
		kong.Writers(out, errs),
		kong.Exit(func(n int) { code = n }),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Vars{"scaleFaults": strings.Join(scale.FaultNames(), ", ")})
	if err != nil {
		panic(err) // a struct tag of commands is invalid
	}
	parsed, err := parser.Parse(args)
	if code != notExited {
		return code // the parser has printed help
	}
	if err == nil {
		parsed.BindTo(ctx, (*context.Context)(nil))
		err = parsed.Run(&console{out: out, errOut: errs})
	}
	return exitCode(ctx, err, errs)
}

// exitCode returns the exit code for the error of a command. It prints the error on errs, except errRunFailed, whose
// cause the command has printed.
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
