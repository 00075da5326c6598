package main

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

// pollInterval is the time between two status reads of waitInForce. An edit is
// in force everywhere within 2 s in current deployments.
const pollInterval = 200 * time.Millisecond

// watchRetryDelay is the delay before a broken watch is restarted.
const watchRetryDelay = time.Second

func (c *client) status(ctx context.Context) (*dhpb.StatusResponse, error) {
	var response *dhpb.StatusResponse
	err := c.tryServers(ctx, func(ctx context.Context, s server) error {
		var err error
		response, err = s.service.Status(ctx, &dhpb.StatusRequest{})
		return err
	})
	return response, err
}

// revisionState tells on which entry VMs a revision is in force.
type revisionState struct {
	InForce bool
	// Behind are the reachable entry VMs on which it is not yet in force.
	Behind []string
	// Unreachable are the entry VMs that the server reports as suspect or dead.
	Unreachable []string
}

// waitInForce reads the status until a revision is in force on every reachable
// entry VM or ctx ends. It returns an error only if no status could be read.
func (c *client) waitInForce(ctx context.Context, revision uint64) (revisionState, error) {
	var state revisionState
	seen := false
	for {
		status, err := c.status(ctx)
		if err == nil {
			seen = true
			state = revisionStateOf(status, revision)
		}
		if err == nil && state.InForce {
			return state, nil
		}
		if dhtimer.Sleep(ctx, c.timers, pollInterval) != nil {
			if !seen {
				return state, err
			}
			return state, nil
		}
	}
}

// revisionStateOf groups the entry VMs of a status by whether a revision is in
// force there.
func revisionStateOf(status *dhpb.StatusResponse, revision uint64) revisionState {
	var state revisionState
	for _, vm := range status.GetVms() {
		switch {
		case vm.GetState() == "left" || vm.GetRevision() >= revision:
		case vm.GetState() == "suspect" || vm.GetState() == "dead":
			state.Unreachable = append(state.Unreachable, vm.GetName())
		default:
			state.Behind = append(state.Behind, vm.GetName())
		}
	}
	slices.Sort(state.Behind)
	slices.Sort(state.Unreachable)
	state.InForce = len(state.Behind) == 0 && status.GetRevision() >= revision
	return state
}

func (p *program) statusCommand(*kingpin.CmdClause) command {
	return func(ctx context.Context) error {
		c, err := p.connect()
		if err != nil {
			return err
		}
		status, err := c.status(ctx)
		if err != nil {
			return err
		}
		return p.printStatus(status)
	}
}

func (p *program) watchCommand(clause *kingpin.CmdClause) command {
	count := clause.Flag("count", "Number of statuses after which to end; 0 is no limit.").Short('n').Int()
	return func(ctx context.Context) error {
		c, err := p.connect()
		if err != nil {
			return err
		}
		return p.watch(ctx, c, *count)
	}
}

// watcher prints each status that differs from the previous one.
type watcher struct {
	program *program
	// count is the number of statuses to print; 0 is no limit.
	count   int
	printed int
	last    []byte
	// err is the error that occurred while printing.
	err error
}

// printIfChanged prints a status that differs from the previous one and reports
// whether more are wanted.
func (w *watcher) printIfChanged(status *dhpb.StatusResponse) bool {
	text, err := w.program.statusText(status)
	if err != nil || bytes.Equal(text, w.last) {
		w.err = err
		return err == nil
	}
	if w.printed > 0 && !w.program.json() {
		_, w.err = w.program.Out.Write([]byte("\n"))
	}
	if w.err == nil {
		_, w.err = w.program.Out.Write(text)
	}
	w.last = text
	w.printed++
	return w.err == nil && w.printed != w.count
}

// watch prints statuses until enough are printed or ctx ends. A broken stream is
// restarted at the next server, unless the error is definitive or none of the
// servers has sent a status.
func (p *program) watch(ctx context.Context, c *client, count int) error {
	w := &watcher{program: p, count: count}
	for i := 0; ; i++ {
		more, err := w.watchServer(ctx, c.servers[i%len(c.servers)])
		if !more || ctx.Err() != nil {
			return w.err
		}
		if isDefinitive(err) || w.printed == 0 && i+1 >= len(c.servers) {
			return dhcode.WithRan(err, dhcode.NotRun)
		}
		fmt.Fprintf(p.Err, "watch is started again: %v\n", err)
		if dhtimer.Sleep(ctx, p.Timers, watchRetryDelay) != nil {
			return nil
		}
	}
}

// watchServer prints the statuses of one server until its stream ends or no more
// are wanted.
func (w *watcher) watchServer(ctx context.Context, s server) (more bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.service.Watch(ctx, &dhpb.WatchRequest{})
	if err != nil {
		return true, wrapServerError(s, dhwire.FromConnect(err))
	}
	for stream.Receive() {
		if !w.printIfChanged(stream.Msg()) {
			return false, nil
		}
	}
	if err := stream.Err(); err != nil {
		return true, wrapServerError(s, dhwire.FromConnect(err))
	}
	return true, dhcode.Errorf(dhcode.StreamBroken, "%s: the server ended the watch", s.url)
}

// printApplied prints the result of an accepted edit. Without --wait, state is nil.
func (p *program) printApplied(revision uint64, state *revisionState) error {
	if p.json() {
		value := map[string]any{"revision": revision}
		if state != nil {
			value["in-force"] = state.InForce
			value["behind"] = append([]string{}, state.Behind...)
			value["unreachable"] = append([]string{}, state.Unreachable...)
		}
		if err := p.printJSON(value); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(p.Out, "revision %d is accepted\n", revision)
	}
	if state == nil {
		return nil
	}
	if len(state.Unreachable) > 0 {
		printWrapped(p.Err, "", "not reachable: "+strings.Join(state.Unreachable, ", "), p.width())
	}
	if !state.InForce {
		behind := firstNonEmpty(strings.Join(state.Behind, ", "), "the server that was asked")
		return exitError{dhcode.ClassNotInForce, fmt.Errorf("revision %d is not yet in force on %s", revision, behind)}
	}
	if !p.json() {
		fmt.Fprintf(p.Out, "revision %d is in force on every reachable entry VM\n", revision)
	}
	return nil
}
