package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

// options contains the parsed flags.
type options struct {
	listen, address string
	entries         []string
	peerKey         string
	leaveLimit      time.Duration
	model           *dhengine.Model
	faults          map[dhtable.Version]dhengine.Faults
	quality         map[string]float64
}

// defaultOptions returns the default options. Defaults and required flags are
// handled here and in parseOptions, because kingpin applies neither when a flag
// named "version" is given.
func defaultOptions() *options {
	return &options{
		listen: "127.0.0.1:0", leaveLimit: 2 * time.Minute,
		model: &dhengine.Model{
			Timers: dhtimer.NewSystem(), Costs: dhengine.DefaultCosts(), ColdStart: dhengine.DefaultCold(),
			Slots: 16, QueueLimit: 256, CacheBlocks: 1024, LoadFor: 2 * time.Second, EventDelay: 500 * time.Millisecond,
			ReportLag: time.Second, LeaveGrace: 3 * time.Second, Seed: 1,
		},
	}
}

func parseOptions(args []string) (*options, error) {
	o := defaultOptions()
	m := o.model
	kind := dhtable.Engine.String()
	var peerKeyFile string
	var versions, faults, qualities []string
	app := kingpin.New("dandelionhoist-engine", "Simulated model engine or plain service.")
	durationFlag := func(name, help string, target *time.Duration) {
		app.Flag(name, fmt.Sprintf("%s (%v).", help, *target)).DurationVar(target)
	}
	intFlag := func(name, help string, target *int) {
		app.Flag(name, fmt.Sprintf("%s (%d).", help, *target)).IntVar(target)
	}
	app.Flag("listen", "Address to listen on ("+o.listen+").").StringVar(&o.listen)
	app.Flag("address", "Address to announce; defaults to the address listened on.").StringVar(&o.address)
	app.Flag("id", "Identity of the backend server; required.").StringVar(&m.ID)
	app.Flag("zone", "Availability zone; required.").StringVar(&m.Zone)
	app.Flag("pool", "Pool of the backend server; required.").StringVar(&m.Pool)
	app.Flag("kind", "engine or service (engine).").EnumVar(&kind, "engine", "service")
	app.Flag("version", "Loaded version, as model/version; may be repeated.").StringsVar(&versions)
	app.Flag("entry", "Base URL of an entry VM to announce to; may be repeated.").StringsVar(&o.entries)
	app.Flag("peer-key-file", "File with the bearer token of announcements.").StringVar(&peerKeyFile)
	intFlag("slots", "Maximum number of running requests", &m.Slots)
	intFlag("queue-limit", "Maximum number of waiting requests", &m.QueueLimit)
	app.Flag("cold", "Begin with a cold start.").BoolVar(&m.StartCold)
	durationFlag("cold-for", "Duration of a cold start", &m.ColdStart.For)
	intFlag("sustainable-load", "Maximum number of requests during a cold start; more cause a crash", &m.ColdStart.SustainableLoad)
	durationFlag("restart-after", "Time from a crash to the next cold start", &m.ColdStart.Restart)
	durationFlag("load-for", "Time to load a version", &m.LoadFor)
	app.Flag("ignore-fencing", "Accept orders with an old fencing token.").BoolVar(&m.IgnoreFencing)
	app.Flag("seed", "Seed of the random draws (1).").Uint64Var(&m.Seed)
	durationFlag("step", "Base time of a batch step", &m.Costs.Step)
	durationFlag("per-sequence", "Time added to a step for each decoding request", &m.Costs.PerSequence)
	durationFlag("per-prefill-token", "Time added to a step for each prompt token", &m.Costs.PerPrefillToken)
	durationFlag("service-time", "Mean execution time of a plain service", &m.Costs.Service)
	intFlag("cache-blocks", "Size of the prefix cache in blocks of 256 bytes", &m.CacheBlocks)
	durationFlag("event-delay", "Mean delay of cache events", &m.EventDelay)
	app.Flag("event-loss", "Fraction of cache events that are lost (0).").Float64Var(&m.EventLoss)
	durationFlag("report-lag", "Minimum age of announced load reports", &m.ReportLag)
	durationFlag("leave-grace", "Time for which a leaving backend server still accepts work", &m.LeaveGrace)
	durationFlag("leave-limit", "Longest time from SIGTERM to exit", &o.leaveLimit)
	app.Flag("quality", "Mean score that the simulated rating service gives a model, as model=0.9; may be repeated.").StringsVar(&qualities)
	app.Flag("fault", "Faults of a version, as model/version:error-rate=0.1,slowness=2,short-rate=0.1; may be repeated.").StringsVar(&faults)
	if _, err := app.Parse(args); err != nil {
		return nil, err
	}
	if m.ID == "" || m.Zone == "" || m.Pool == "" {
		return nil, errors.New("flags --id, --zone and --pool are required")
	}
	if strings.HasPrefix(o.address, ":") {
		return nil, fmt.Errorf("flag --address %q has no host", o.address)
	}
	if kind == "service" {
		m.Kind = dhtable.Service
	}
	for _, s := range versions {
		v, ok := dhtable.ParseVersion(s)
		if !ok {
			return nil, fmt.Errorf("flag --version %q: want model/version", s)
		}
		m.Versions = append(m.Versions, v)
	}
	if err := o.parseQuality(qualities); err != nil {
		return nil, err
	}
	if err := o.parseFaults(faults); err != nil {
		return nil, err
	}
	return o, o.readPeerKey(peerKeyFile)
}

func (o *options) readPeerKey(file string) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("flag --peer-key-file: %w", err)
	}
	o.peerKey = strings.TrimSpace(string(data))
	return nil
}

func (o *options) parseQuality(specs []string) error {
	o.quality = make(map[string]float64)
	for _, spec := range specs {
		model, text, _ := strings.Cut(spec, "=")
		score, err := strconv.ParseFloat(text, 64)
		if err != nil || score < 0 || score > 1 {
			return fmt.Errorf("flag --quality %q: want model=score with a score between 0 and 1", spec)
		}
		o.quality[model] = score
	}
	return nil
}

func (o *options) parseFaults(specs []string) error {
	o.faults = make(map[dhtable.Version]dhengine.Faults)
	for _, spec := range specs {
		name, list, _ := strings.Cut(spec, ":")
		v, ok := dhtable.ParseVersion(name)
		if !ok {
			return fmt.Errorf("flag --fault %q: want model/version:key=value and further pairs after commas", spec)
		}
		var f dhengine.Faults
		keys := map[string]*float64{"error-rate": &f.ErrorRate, "slowness": &f.Slowness, "short-rate": &f.ShortRate}
		for _, item := range strings.Split(list, ",") {
			key, value, _ := strings.Cut(item, "=")
			field, known := keys[key]
			n, err := strconv.ParseFloat(value, 64)
			if !known || err != nil || n < 0 {
				return fmt.Errorf("flag --fault %q: %q is not error-rate, slowness or short-rate with a number", spec, item)
			}
			*field = n
		}
		o.faults[v] = f
	}
	return nil
}
