// Command birchmoor is the product's command line: the lab, and what operators run by hand.
//
// Exit codes: 0 for success, 1 for a run that missed its figures or broke a rule, 2 for bad input, 130 on Ctrl-C;
// lock has more.
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
	var c commands
	code := -1
	parser, err := kong.New(&c, kong.Name("birchmoor"), kong.UsageOnError(), kong.Writers(out, errs),
		kong.Description("birchmoor: a client-side load-balancing sidecar, and the lab that shows what it does."),
		kong.Exit(func(n int) { code = n }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Vars{"scaleFaults": strings.Join(scale.FaultNames(), ", ")})
	if err != nil {
		panic(err) // the commands above are wrong
	}
	parsed, err := parser.Parse(args)
	if code >= 0 {
		return code // help was asked for
	}
	if err == nil {
		parsed.BindTo(ctx, (*context.Context)(nil))
		err = parsed.Run(&console{out: out, err: errs})
	}
	var own *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &own):
		if own.err != nil {
			fmt.Fprintln(errs, "birchmoor:", own.err)
		}
		return own.code
	case errors.Is(err, errRunFailed):
		return exitFailure
	case ctx.Err() != nil:
		fmt.Fprintln(errs, "birchmoor: stopped")
		return exitInterrupted
	}
	fmt.Fprintln(errs, "birchmoor:", err)
	return exitUsage
}
