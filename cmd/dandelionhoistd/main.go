// Command dandelionhoistd is the daemon of an entry VM.
//
//	dandelionhoistd run SETTINGS
//	dandelionhoistd check-settings SETTINGS
//	dandelionhoistd check-platform-settings SETTINGS
//	dandelionhoistd print-defaults
//	dandelionhoistd entry
//	dandelionhoistd control
//
// The commands entry and control run on the users' platform. An environment
// variable names its settings file; see package platform.
//
// SIGTERM starts a graceful shutdown: the health check fails, new requests are
// refused, running requests finish and the daemon exits with 0. A second signal is
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
	"dandelionhoist.example/platform"
)

// hangupsIgnored is set if the process ignored hangups before earlySignals received them.
// One that comes then announces settings that the process has not read yet.
var hangupsIgnored bool

// earlySignals receives signals from before main runs, because SIGHUP or SIGTERM
// ends the process with an error until a handler is registered.
var earlySignals = notifySignals()

func notifySignals() chan os.Signal {
	hangupsIgnored = signal.Ignored(syscall.SIGHUP)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

func main() {
	app := kingpin.New("dandelionhoistd", "Daemon of an entry VM.")
	run := app.Command("run", "Serve until SIGTERM.")
	runFile := run.Arg("settings", "Settings file.").Required().String()
	debug := run.Flag("debug", "Log details.").Bool()
	check := app.Command("check-settings", "Check a settings file and exit.")
	checkFile := check.Arg("settings", "Settings file.").Required().String()
	checkPlatform := app.Command("check-platform-settings", "Check a settings file of the platform and exit.")
	checkPlatformFile := checkPlatform.Arg("settings", "Settings file of the platform.").Required().String()
	defaults := app.Command("print-defaults", "Print every setting with its unit and default.")
	entry := app.Command("entry", "Serve clients on the platform until SIGTERM.")
	control := app.Command("control", "Serve operators and backend servers on the platform until SIGTERM.")
	internalListen := control.Flag("internal-listen", "IP:port to listen on for other VMs, when they reach this VM by another address.").String()
	source := app.Flag("source-ip", "IP that calls to other VMs leave from (entry and control).").String()

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		err = serve(*runFile, *debug)
	case check.FullCommand():
		_, err = dhsetting.Load(*checkFile)
	case checkPlatform.FullCommand():
		_, err = platform.Load(*checkPlatformFile)
	case defaults.FullCommand():
		fmt.Print(dhsetting.Describe())
	case entry.FullCommand():
		err = serveOnPlatform("", *source, platform.RunEntry)
	case control.FullCommand():
		err = serveOnPlatform(*internalListen, *source, platform.RunControl)
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

// serveOnPlatform runs a role of the platform that listens for and calls other
// VMs at the given addresses. SIGHUP reloads the settings.
func serveOnPlatform(internalListen, source string, run func(ctx context.Context, s platform.Settings, stop, hangups <-chan struct{}) error) error {
	settings, err := platform.LoadAtStart(context.Background(), dhtimer.NewSystem(), os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	if settings, err = settings.WithInternalAddresses(internalListen, source); err != nil {
		return err
	}
	stop, hangups := make(chan struct{}), make(chan struct{}, 1)
	group := dhgroup.New(context.Background())
	group.Go(func(ctx context.Context) error { return watchPlatformSignals(ctx, stop, hangups) })
	group.Go(func(ctx context.Context) error {
		defer group.Stop()
		return run(ctx, settings, stop, hangups)
	})
	return group.Wait()
}

// watchPlatformSignals closes stop at the first SIGTERM or SIGINT. At a SIGHUP it
// sends on hangups, unless an earlier one is still pending.
func watchPlatformSignals(ctx context.Context, stop, hangups chan<- struct{}) error {
	stopped := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-earlySignals:
			switch {
			case s == syscall.SIGHUP:
				select {
				case hangups <- struct{}{}:
				default:
				}
			case !stopped:
				stopped = true
				close(stop)
			}
		}
	}
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
