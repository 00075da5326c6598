// Command dandelionhoist-load sends a workload to running daemons and checks
// the answers.
//
// Requests are sent at times that do not depend on earlier answers (open
// loop), and latencies count from the planned time. The load generator acts as
// the callers of all client accounts and as the load balancer in front of the
// entry VMs: a request goes to a random server and, when that has no
// connection or is leaving, to the next one. It checks that each answer is
// complete and its own, that a session keeps its version, that orders with one
// key have one answer, and, with an operator's key, that each answer is billed
// once and no request that was refused as not run is billed.
//
// # Usage
//
//	dandelionhoist-load --workload=tringles --keys=deploy/tringles/keys.json \
//		--server=http://127.0.0.1:7001 --server=http://127.0.0.1:7002 \
//		--operator-server=http://127.0.0.1:7011 --operator-key-file=operator.key \
//		--rate=200 --duration=30s
//
// The exit status is 0 when every check holds, 1 when one is violated and 2
// when the command line or a file cannot be used. Refusals are no violations.
package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
	"dandelionhoist.example/dh/dhworkload"
)

const (
	// maxMessageBytes bounds a message of an entry VM, maxTotalMessageBytes those that are
	// being read at the same time, except for parts of answers.
	maxMessageBytes      = 8 << 20
	maxTotalMessageBytes = 64 << 20
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr, dhtimer.NewSystem())
	stop()
	os.Exit(int(status))
}

// checkText compares an answer with what a simulated engine answers.
func checkText(ask *dhpb.AskRequest, a answer) error {
	want := dhengine.Answer(ask.GetPrompt(), a.Model, a.Version, int(ask.GetMaxTokens()))
	if a.Text != want {
		return fmt.Errorf("the text has %d bytes and differs from the expected %d bytes", len(a.Text), len(want))
	}
	return nil
}

type flags struct {
	workload, keys, caFile, operatorKeyFile string
	servers, operatorServers                []string
	json                                    bool
}

// run runs one load and prints its report.
func run(ctx context.Context, args []string, out, errs io.Writer, timers dhtimer.Service) dhcode.Class {
	l := &load{Timers: timers, CheckText: checkText}
	var f flags
	app := kingpin.New("dandelionhoist-load", "Sends a workload to running daemons and checks the answers.")
	app.UsageWriter(out).ErrorWriter(errs)
	app.Flag("workload", "Workload: "+strings.Join(dhworkload.Names(), " or ")+".").Required().EnumVar(&f.workload, dhworkload.Names()...)
	app.Flag("keys", "File with API keys by client account, JSON with comments.").Required().StringVar(&f.keys)
	app.Flag("server", "URL of an entry VM; repeat it.").Short('s').Required().StringsVar(&f.servers)
	app.Flag("ca-file", "File with certificates to trust, PEM.").StringVar(&f.caFile)
	app.Flag("operator-server", "URL of an entry VM's operators' address, for bills and quality; repeat it. The callers' URLs by default.").StringsVar(&f.operatorServers)
	app.Flag("operator-key-file", "File with an operator's key, for bills and quality.").StringVar(&f.operatorKeyFile)
	app.Flag("seed", "Seed of the workload and of the callers.").Default("1").Uint64Var(&l.Options.Seed)
	app.Flag("rate", "Requests per second.").Default("50").Float64Var(&l.Options.Rate)
	app.Flag("run", "Name of the run in request ids and keys; random by default.").StringVar(&l.Options.Run)
	app.Flag("duration", "Time during which requests are sent.").Default("30s").DurationVar(&l.Duration)
	app.Flag("timeout", "Time a caller waits for an answer.").Default("2m").DurationVar(&l.Timeout)
	app.Flag("in-flight", "Largest number of requests in flight; more are counted and not sent.").Default("4096").IntVar(&l.InFlight)
	app.Flag("break", "Share of streams that the caller breaks and resumes at another server.").Default("0.02").Float64Var(&l.Break)
	app.Flag("json", "Print the report as JSON.").BoolVar(&f.json)
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(errs, "dandelionhoist-load: %v; see --help\n", err)
		return dhcode.ClassUsage
	}
	err := l.configure(f)
	if err != nil {
		fmt.Fprintf(errs, "dandelionhoist-load: %v\n", err)
		return dhcode.ClassUsage
	}
	fmt.Fprintf(errs, "run %s, seed %d, %g requests/s for %s\n", l.Options.Run, l.Options.Seed, l.Options.Rate, l.Duration)
	report := l.run(ctx)
	l.settle(context.WithoutCancel(ctx), report)
	if err := report.print(out, f.json); err != nil {
		fmt.Fprintf(errs, "dandelionhoist-load: %v\n", err)
		return dhcode.ClassInternal
	}
	if report.violationCount > 0 {
		return dhcode.ClassInternal
	}
	return dhcode.ClassOK
}

// configure reads the files that flags name and connects the callers.
func (l *load) configure(f flags) error {
	l.Workload, _ = dhworkload.ByName(f.workload)
	if l.Options.Rate <= 0 || l.Duration <= 0 || l.Timeout <= 0 || l.InFlight <= 0 || l.Break < 0 || l.Break > 1 {
		return fmt.Errorf("rate, duration, timeout and in-flight must be positive, and break must be between 0 and 1")
	}
	if l.Options.Run == "" {
		l.Options.Run = strings.ToLower(rand.Text()[:10])
	}
	data, err := os.ReadFile(f.keys)
	if err != nil {
		return err
	}
	keys, err := dhworkload.ParseKeys(f.keys, data)
	if err != nil {
		return err
	}
	transport, err := dhwire.NewTransport(f.caFile)
	if err != nil {
		return err
	}
	bounds := &dhwire.Bounds{MaxBytes: maxMessageBytes, MaxTotalBytes: maxTotalMessageBytes}
	client := bounds.ConnectClient(transport)
	l.Routers = make(map[string][]dhpbconnect.RouterServiceClient)
	for _, account := range l.Workload.Accounts {
		if keys[account.Name] == "" {
			return fmt.Errorf("%s has no key for account %q", f.keys, account.Name)
		}
		for _, server := range f.servers {
			if err := dhwire.CheckURL(server); err != nil {
				return err
			}
			router := dhpbconnect.NewRouterServiceClient(client, strings.TrimSuffix(server, "/"),
				dhwire.WithKey(keys[account.Name]), dhwire.WithoutCompression())
			l.Routers[account.Name] = append(l.Routers[account.Name], router)
		}
	}
	if f.operatorKeyFile == "" {
		return nil
	}
	key, err := os.ReadFile(f.operatorKeyFile)
	if err != nil {
		return err
	}
	if len(f.operatorServers) == 0 {
		f.operatorServers = f.servers
	}
	for _, server := range f.operatorServers {
		if err := dhwire.CheckURL(server); err != nil {
			return err
		}
		l.Operators = append(l.Operators, dhpbconnect.NewOperatorServiceClient(client, strings.TrimSuffix(server, "/"), dhwire.WithKey(strings.TrimSpace(string(key)))))
	}
	return nil
}
