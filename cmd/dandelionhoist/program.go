package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtimer"
)

// program is one run of the command line. Exported fields are set before run.
type program struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Getenv func(string) string
	Timers dhtimer.Service
	// Exit ends the process after help, version and completion scripts.
	Exit func(status int)

	flags  globalFlags
	client *client
}

type globalFlags struct {
	config  string
	servers []string
	keyFile string
	caFile  string
	timeout time.Duration
	output  string
}

// exitError is an error whose class does not come from a result code.
type exitError struct {
	class dhcode.Class
	err   error
}

func (e exitError) Error() string { return e.err.Error() }

func (e exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return exitError{dhcode.ClassUsage, fmt.Errorf(format, args...)}
}

type command func(ctx context.Context) error

// run runs one command and returns the exit status.
func (p *program) run(ctx context.Context, args []string) int {
	app := kingpin.New("dandelionhoist", "Edits the tables of a dandelionhoist deployment and shows its state.")
	app.UsageWriter(p.Out).ErrorWriter(p.Err).Terminate(p.Exit)
	app.HelpFlag.Short('h')
	p.addGlobalFlags(app)
	commands := p.commands(app)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(p.Err, "dandelionhoist: %v; see --help\n", err)
		return int(dhcode.ClassUsage)
	}
	err = p.loadDefaults()
	if err == nil {
		err = p.runWithTimeout(ctx, name, commands[name])
	}
	return p.reportResult(err)
}

// runWithTimeout runs a command within the time limit. The exceptions are edit,
// which sets the limit after the operator has closed the editor, and watch, which
// has no limit.
func (p *program) runWithTimeout(ctx context.Context, name string, run command) error {
	if name == "edit" || name == "watch" {
		return run(ctx)
	}
	ctx, cancel := dhtimer.WithTimeout(ctx, p.Timers, p.flags.timeout)
	defer cancel()
	return run(ctx)
}

func (p *program) addGlobalFlags(app *kingpin.Application) {
	app.Flag("config", "Defaults file, JSON with comments.").
		Envar("DANDELIONHOIST_CONFIG").StringVar(&p.flags.config)
	app.Flag("server", "URL of an entry VM's operator service; repeat it for servers to try in order.").
		Short('s').Envar("DANDELIONHOIST_SERVER").StringsVar(&p.flags.servers)
	app.Flag("key-file", "File with the operator's key.").
		Envar("DANDELIONHOIST_KEY_FILE").StringVar(&p.flags.keyFile)
	app.Flag("ca-file", "File with the certificates that sign the servers' certificates, PEM.").
		Envar("DANDELIONHOIST_CA_FILE").StringVar(&p.flags.caFile)
	app.Flag("timeout", "Time for the whole command, 30s by default; watch has no limit.").
		DurationVar(&p.flags.timeout)
	app.Flag("output", "Output format: text or json.").
		Short('o').EnumVar(&p.flags.output, "text", "json")
}

// reportResult prints err, if there is one, and returns the exit status.
func (p *program) reportResult(err error) int {
	if err == nil {
		return int(dhcode.ClassOK)
	}
	class := dhcode.ClassOf(err)
	var exit exitError
	local := errors.As(err, &exit)
	if local {
		class = exit.class
	}
	if p.json() {
		p.printJSONError(err, class, local)
		return int(class)
	}
	if local {
		fmt.Fprintf(p.Err, "dandelionhoist: %v\n", err)
		return int(class)
	}
	code := dhcode.Of(err)
	hint := ""
	if d := dhcode.RetryAfterOf(err); d > 0 {
		hint = ", retry after " + d.String()
	}
	fmt.Fprintf(p.Err, "dandelionhoist: %s (%d, ran: %s%s)\n", code, int(code), dhcode.RanOf(err), hint)
	printWrapped(p.Err, "  ", err.Error(), p.width())
	printWrapped(p.Err, "  what to do: ", code.Action(), p.width())
	return int(class)
}

// printJSONError prints err as one line of JSON. An error of the program itself
// has no result code.
func (p *program) printJSONError(err error, class dhcode.Class, local bool) {
	value := map[string]any{"class": class.String(), "message": err.Error()}
	if !local {
		value["code"] = dhcode.Of(err).String()
		value["number"] = int(dhcode.Of(err))
		value["ran"] = dhcode.RanOf(err).String()
		value["retry-after"] = dhcode.RetryAfterOf(err).String()
	}
	_ = writeJSONLine(p.Err, value)
}

// width returns the number of columns of the output.
func (p *program) width() int {
	if n, err := strconv.Atoi(p.Getenv("COLUMNS")); err == nil && n >= 40 {
		return n
	}
	return 80
}

func (p *program) json() bool { return p.flags.output == "json" }
