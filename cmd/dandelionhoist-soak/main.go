// Command dandelionhoist-soak runs the platform's roles as processes on
// loopback under random faults and checks the platform's guarantees against what
// callers, operators and backend servers observe; see package dhsoak.
//
//	dandelionhoist-soak --program bin/dandelionhoistd --seeds 50 --parallel 3
//	dandelionhoist-soak --program bin/dandelionhoistd --first-seed 17
//
// It prints a line for each seed and one for each violation of a guarantee. The
// folder of a seed that failed keeps the settings, disks and logs of its processes.
// The exit status is 1 if a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/cmd/dandelionhoist-soak/dhsoak"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

// options are the flags of the program.
type options struct {
	program, old, folder  string
	firstSeed, seeds      uint64
	parallel              int
	storm, recovery, calm time.Duration
	size                  dhsoak.Size
	verbose               bool
}

func parseOptions(arguments []string) (options, error) {
	var o options
	app := kingpin.New("dandelionhoist-soak", "Runs the platform's roles under random faults and checks their guarantees.")
	app.Terminate(nil)
	app.Flag("program", "Path of dandelionhoistd.").Required().StringVar(&o.program)
	app.Flag("old-program", "Path of dandelionhoistd of an earlier build with which all VMs start.").StringVar(&o.old)
	app.Flag("folder", "Folder for settings, disks and logs.").Default(filepath.Join(os.TempDir(), "dandelionhoist-soak")).StringVar(&o.folder)
	app.Flag("first-seed", "First seed; 0 takes it from the clock.").Default("0").Uint64Var(&o.firstSeed)
	app.Flag("seeds", "Number of seeds.").Default("1").Uint64Var(&o.seeds)
	app.Flag("parallel", "Number of seeds that run concurrently.").Default("1").IntVar(&o.parallel)
	app.Flag("storm", "Time during which faults are injected.").Default("10s").DurationVar(&o.storm)
	app.Flag("recovery", "Time after the storm until the system must serve again.").Default("6s").DurationVar(&o.recovery)
	app.Flag("calm", "Time without faults, during which all checks apply.").Default("10s").DurationVar(&o.calm)
	app.Flag("controls", "Number of control VMs; 0 chooses it at random.").Default("0").IntVar(&o.size.Controls)
	app.Flag("entries", "Number of entry VMs; 0 chooses it at random.").Default("0").IntVar(&o.size.Entries)
	app.Flag("backends", "Number of backend servers; 0 chooses it at random.").Default("0").IntVar(&o.size.Backends)
	app.Flag("callers", "Number of callers; 0 chooses it at random.").Default("0").IntVar(&o.size.Callers)
	app.Flag("verbose", "Log each fault.").BoolVar(&o.verbose)
	if _, err := app.Parse(arguments); err != nil {
		return o, err
	}
	if o.parallel < 1 || o.parallel > maxParallel {
		return o, fmt.Errorf("parallel %d is not from 1 to %d", o.parallel, maxParallel)
	}
	if o.storm <= 0 || o.recovery <= 0 || o.calm <= 0 {
		return o, fmt.Errorf("storm %v, recovery %v and calm %v must be above 0", o.storm, o.recovery, o.calm)
	}
	if o.firstSeed == 0 {
		o.firstSeed = uint64(dhtimer.NewSystem().Now().UnixNano())
	}
	return o, nil
}

// maxParallel runs fit into the loopback addresses of a process: each run uses four
// of the 256 values of the third octet.
const maxParallel = 60

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	o, err := parseOptions(os.Args[1:])
	if err == nil {
		err = run(ctx, o, os.Stdout, os.Stderr)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "dandelionhoist-soak: %v\n", err)
		os.Exit(1)
	}
}

// run runs all seeds and returns an error if a guarantee was violated.
func run(ctx context.Context, o options, out, logs io.Writer) error {
	level := slog.LevelInfo
	if o.verbose {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: level}))
	seeds := make(chan uint64)
	reports := make(chan dhsoak.Report)
	group := dhgroup.New(ctx)
	group.Go(func(ctx context.Context) error {
		defer close(seeds)
		for i := range o.seeds {
			select {
			case seeds <- o.firstSeed + i:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	})
	workers := dhgroup.New(group.Context())
	for i := range o.parallel {
		workers.Go(func(ctx context.Context) error {
			for seed := range seeds {
				report, err := runSeed(ctx, o, seed, i, log)
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed, err)
				}
				reports <- report
			}
			return nil
		})
	}
	group.Go(func(context.Context) error {
		defer close(reports)
		return workers.Wait()
	})
	failed := 0
	for report := range reports {
		if _, err := fmt.Fprintln(out, report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds violated a guarantee", failed, o.seeds)
	}
	return nil
}

// runSeed runs one seed in its own folder, which is kept if the run failed or violated
// a guarantee.
func runSeed(ctx context.Context, o options, seed uint64, worker int, log *slog.Logger) (dhsoak.Report, error) {
	folder := filepath.Join(o.folder, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(folder); err != nil {
		return dhsoak.Report{}, err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return dhsoak.Report{}, err
	}
	addresses, err := findAddressBlock(os.Getpid(), worker)
	if err != nil {
		return dhsoak.Report{}, err
	}
	soak := &dhsoak.Soak{
		Program: o.program, OldProgram: o.old, Folder: folder, Seed: seed, Storm: o.storm, Recovery: o.recovery, Calm: o.calm, Size: o.size,
		Network: addresses, Timers: dhtimer.NewSystem(), Log: log,
	}
	report, err := soak.Run(ctx)
	if err == nil && len(report.Violations) == 0 {
		err = os.RemoveAll(folder)
	}
	return report, err
}

// findAddressBlock returns the loopback addresses of a run: the first block that no
// other program uses, searched from a position that depends on the process id.
func findAddressBlock(pid, worker int) (netip.Addr, error) {
	const (
		firstOctet = 64 // other tests use the addresses below
		blocks     = 128
	)
	var err error
	for i := range blocks {
		block := netip.AddrFrom4([4]byte{127, byte(firstOctet + (pid+i)%blocks), byte(worker * 4), 0})
		if err = dhsoak.Free(block); err == nil {
			return block, nil
		}
	}
	return netip.Addr{}, err
}
