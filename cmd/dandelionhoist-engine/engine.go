package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// leavePollInterval is the interval at which a leaving engine checks whether it
// is idle.
const leavePollInterval = 50 * time.Millisecond

// shutdownTimeout bounds the graceful shutdown of the HTTP server; cache event
// streams that are still open after it are closed.
const shutdownTimeout = time.Second

// maxFaultRequestBytes is the maximum body size of a fault request.
const maxFaultRequestBytes = 64 << 10

// engine runs a model, its HTTP server and its announcer.
type engine struct {
	options *options
	log     *slog.Logger
}

func (e *engine) run(ctx context.Context, signals <-chan os.Signal) error {
	m := e.options.model
	listener, err := net.Listen("tcp", e.options.listen)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", e.options.listen, err)
	}
	m.Address = e.options.address
	if m.Address == "" {
		m.Address = listener.Addr().String()
	}
	m.Start()
	for v, f := range e.options.faults {
		m.SetFaults(v, f)
	}
	announcer := &dhengine.Announcer{Model: m, Timers: m.Timers, Entries: e.options.entries, PeerKey: e.options.peerKey, Log: e.log}
	server := dhengine.NewHTTPServer(e.handler())
	g := dhgroup.New(ctx)
	g.Go(func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(announcer.Run)
	g.Go(func(ctx context.Context) error {
		e.waitAndLeave(ctx, signals, announcer)
		// The streams of the last answers may still be open for a short time
		// after the model has become idle.
		ctx, cancel := dhtimer.WithTimeout(ctx, m.Timers, shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
		g.Stop()
		return nil
	})
	e.log.Info("listening", "address", listener.Addr().String(), "pool", m.Pool, "zone", m.Zone, "kind", m.Kind.String())
	err = g.Wait()
	m.Stop()
	e.log.Info("stopped", "error", err)
	return err
}

// waitAndLeave waits for a signal, makes the model leave and returns when it
// has left, is down or the leave limit has passed, or when ctx ends.
func (e *engine) waitAndLeave(ctx context.Context, signals <-chan os.Signal, announcer *dhengine.Announcer) {
	select {
	case <-ctx.Done():
		return
	case s := <-signals:
		e.log.Info("leaving", "signal", s.String())
	}
	m := e.options.model
	m.Leave()
	announcer.AnnounceOnce(ctx)
	limit := m.Timers.Now().Add(e.options.leaveLimit)
	for !m.Left() && !m.Down() {
		if m.Timers.Now().After(limit) {
			running, waiting := m.Load()
			e.log.Warn("leave limit passed", "running", running, "waiting", waiting)
			return
		}
		if dhtimer.Sleep(ctx, m.Timers, leavePollInterval) != nil {
			return
		}
	}
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	server := &dhengine.Server{Model: e.options.model}
	mux.Handle(server.Handler())
	mux.Handle(dhpbconnect.NewRatingServiceHandler(&dhengine.Rater{Quality: e.options.quality}))
	mux.HandleFunc("POST /faults", loopbackOnly(e.serveFaults))
	mux.HandleFunc("GET /stats", loopbackOnly(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.options.model.Stats())
	}))
	mux.HandleFunc("GET /executions", loopbackOnly(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.options.model.AllExecutions())
	}))
	return mux
}

// loopbackOnly rejects requests from other machines with the status 403.
func loopbackOnly(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			http.Error(w, "only from a loopback address", http.StatusForbidden)
			return
		}
		h(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// faultRequest is the body of POST /faults. Every field is optional.
type faultRequest struct {
	// Versions contains the faults to set, with keys of the form "model/version".
	Versions map[string]dhengine.Faults `json:"versions"`
	// Crash fails all requests and restarts the engine with a cold start, Cold
	// begins an unannounced cold start, Stall is the time ("5s") by which the
	// steps and executions that start now are delayed.
	Crash bool   `json:"crash"`
	Cold  bool   `json:"cold"`
	Stall string `json:"stall"`
}

func (e *engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultRequestBytes))
	decoder.DisallowUnknownFields()
	var f faultRequest
	err := decoder.Decode(&f)
	if err == nil {
		err = e.applyFaults(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.log.Info("faults", "versions", len(f.Versions), "crash", f.Crash, "cold", f.Cold, "stall", f.Stall)
	w.WriteHeader(http.StatusNoContent)
}

func (e *engine) applyFaults(f faultRequest) error {
	m := e.options.model
	faults := make(map[dhtable.Version]dhengine.Faults, len(f.Versions))
	for name, v := range f.Versions {
		version, ok := dhtable.ParseVersion(name)
		if !ok {
			return fmt.Errorf("version %q: want model/version", name)
		}
		faults[version] = v
	}
	var stall time.Duration
	if f.Stall != "" {
		d, err := time.ParseDuration(f.Stall)
		if err != nil || d < 0 {
			return fmt.Errorf("stall %q: want a duration such as 5s", f.Stall)
		}
		stall = d
	}
	for v, faults := range faults {
		m.SetFaults(v, faults)
	}
	if stall > 0 {
		m.Stall(stall)
	}
	if f.Cold {
		m.GoCold()
	}
	if f.Crash {
		m.Crash()
	}
	return nil
}
