// Command dandelionhoist-engine runs a simulated model engine or plain service
// that announces itself to entry VMs.
//
//	dandelionhoist-engine --listen 127.0.0.1:7101 --id atelier-llm-1 --zone mrc-a \
//		--pool atelier-llm --version pine/v1 --version oak/v1 --entry http://127.0.0.1:7001
//
// On SIGTERM or SIGINT it announces that it is leaving, completes accepted
// requests, for at most --leave-limit, and exits with status 0.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := run(context.Background(), os.Args[1:], signals, os.Stderr); err != nil {
		fmt.Fprintf(os.Stderr, "dandelionhoist-engine: %v\n", err)
		os.Exit(1)
	}
}

// run serves requests until the first signal, then leaves and shuts down.
func run(ctx context.Context, args []string, signals <-chan os.Signal, stderr io.Writer) error {
	o, err := parseOptions(args)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(stderr, nil)).With("id", o.model.ID)
	// The start time serves as incarnation: it increases with each restart
	// without any stored state.
	o.model.Incarnation = uint64(time.Now().UnixNano())
	e := &engine{options: o, log: log}
	return e.run(ctx, signals)
}
