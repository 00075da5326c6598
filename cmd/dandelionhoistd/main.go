// Command dandelionhoistd is the daemon of an entry VM.
//
//	dandelionhoistd run SETTINGS
//	dandelionhoistd check-settings SETTINGS
//	dandelionhoistd print-defaults
//
// SIGTERM starts a graceful shutdown: the health check fails, no new work is
// taken, running requests end and the daemon exits with 0. A second signal is
// logged; the settings' stop-limit is the hard limit.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhdaemon"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhserver"
	"dandelionhoist.example/dh/dhsetting"
	"dandelionhoist.example/dh/dhtimer"
)

func main() {
	app := kingpin.New("dandelionhoistd", "Daemon of an entry VM.")
	run := app.Command("run", "Serve until SIGTERM.")
	runFile := run.Arg("settings", "Settings file.").Required().String()
	debug := run.Flag("debug", "Log details.").Bool()
	check := app.Command("check-settings", "Check a settings file and exit.")
	checkFile := check.Arg("settings", "Settings file.").Required().String()
	defaults := app.Command("print-defaults", "Print every setting with its unit and default.")

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		err = serve(*runFile, *debug)
	case check.FullCommand():
		_, err = dhsetting.Load(*checkFile)
	case defaults.FullCommand():
		fmt.Print(dhsetting.Describe())
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "dandelionhoistd: %v\n", err)
		os.Exit(1)
	}
}

func serve(path string, debug bool) error {
	settings, err := dhsetting.Load(path)
	if err != nil {
		return err
	}
	keys, err := dhserver.LoadKeys(settings.Keys)
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if debug {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("vm", settings.Name)
	stop := make(chan struct{})
	group := dhgroup.New(context.Background())
	group.Go(func(ctx context.Context) error { return watchSignals(ctx, log, stop) })
	group.Go(func(ctx context.Context) error {
		defer group.Stop()
		daemon := &dhdaemon.Daemon{Settings: settings, Keys: keys, Timers: dhtimer.NewSystem(), Log: log}
		return daemon.Run(ctx, stop)
	})
	return group.Wait()
}

// watchSignals closes stop at the first signal and logs further ones.
func watchSignals(ctx context.Context, log *slog.Logger, stop chan<- struct{}) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			log.Info("signal", slog.String("signal", s.String()), slog.Int("number", n+1))
			if n == 0 {
				close(stop)
			}
		}
	}
}
