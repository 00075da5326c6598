// Package dhmeasure measures placement policies on the engine model with the
// stepped clock.
//
// A Run simulates one deployment at its size: entry VMs that decide
// independently, backend servers whose announcements come each second with
// lagging load reports and reach other zones later, late and lossy cache
// events, and an open-loop workload of sessions. Runs with the same fields
// give the same Result.
//
// # Usage
//
//	capacity := dhmeasure.Capacity(dhmeasure.Tringles(), 1)
//	result := dhmeasure.Run{Deployment: dhmeasure.Tringles(), Policy: dhmeasure.Full,
//		Settings: dhplacement.Defaults(), Rate: 0.8 * capacity, Seed: 1}.Do()
//
// docs/MEASUREMENTS.md names the command that prints its tables.
package dhmeasure

import (
	"slices"
	"time"

	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtable"
)

//go:generate ../../bin/stringer -type=Policy -linecomment

// Policy chooses backend servers.
type Policy int

// The policies: the four baselines and dhplacement.
const (
	RoundRobin       Policy = iota // round robin
	LeastConnections               // least own connections
	TwoChoices                     // power of two choices
	NoAffinity                     // without affinity
	Full                           // dhplacement
)

// Policies returns all policies, the baselines first.
func Policies() []Policy {
	return []Policy{RoundRobin, LeastConnections, TwoChoices, NoAffinity, Full}
}

// Class is a kind of request.
type Class struct {
	Name string
	// Share is the part of the sessions that ask for it.
	Share float64
	// SystemTokens are common to all requests, AccountTokens to those of one
	// account's group (a shop or an outlet), QuestionTokens are new in each turn.
	SystemTokens, AccountTokens, QuestionTokens int
	Groups                                      int
	MaxTokens                                   int
	// Turns is the highest number of turns of a session; each turn's prompt
	// contains the ones before.
	Turns int
	Model string
}

// Deployment is a set of entry VMs and backend servers with its workload.
type Deployment struct {
	Name               string
	Zones              []string
	EntryVMs, Replicas int
	// OneWay is the latency between zones.
	OneWay  time.Duration
	Classes []Class
	// Accounts ask with weights 1, 1/2, 1/3 and so on.
	Accounts int
}

// Tringles returns Tringles Saint-Maurice.
func Tringles() Deployment {
	return Deployment{
		Name: "tringles", Zones: []string{"mrc-a", "mrc-b", "mrc-c", "mrc-d"}, EntryVMs: 9, Replicas: 20,
		OneWay: 500 * time.Microsecond, Accounts: 10,
		Classes: []Class{
			{Name: "cut-list", Share: 0.3, SystemTokens: 1200, AccountTokens: 800, QuestionTokens: 120, Groups: 20, MaxTokens: 500, Turns: 5, Model: "oak"},
			{Name: "bracket", Share: 0.3, SystemTokens: 800, AccountTokens: 400, QuestionTokens: 60, Groups: 20, MaxTokens: 200, Turns: 3, Model: "pine"},
			{Name: "finish", Share: 0.4, SystemTokens: 600, QuestionTokens: 40, Groups: 1, MaxTokens: 120, Turns: 2, Model: "pine"},
		},
	}
}

// Kandy returns Kandy Golden Crust Franchise Holdings.
func Kandy() Deployment {
	return Deployment{
		Name: "kandy", Zones: []string{"kandy-a", "peradeniya-b", "matale-c"}, EntryVMs: 8, Replicas: 12,
		OneWay: time.Millisecond, Accounts: 10,
		Classes: []Class{
			{Name: "bake-plan", Share: 0.25, SystemTokens: 1600, AccountTokens: 1200, QuestionTokens: 200, Groups: 20, MaxTokens: 700, Turns: 4, Model: "oak"},
			{Name: "stock", Share: 0.5, SystemTokens: 500, AccountTokens: 400, QuestionTokens: 30, Groups: 20, MaxTokens: 80, Turns: 2, Model: "pine"},
			{Name: "pickup", Share: 0.25, SystemTokens: 400, QuestionTokens: 40, Groups: 1, MaxTokens: 60, Turns: 1, Model: "pine"},
		},
	}
}

// WithLongPrompts returns d with twice the common and three times the
// accounts' text in its prompts, such as a whole catalogue.
func (d Deployment) WithLongPrompts() Deployment {
	d.Name += " with long prompts"
	d.Classes = slices.Clone(d.Classes)
	for i := range d.Classes {
		d.Classes[i].SystemTokens *= 2
		d.Classes[i].AccountTokens *= 3
	}
	return d
}

// Run is one simulated run.
type Run struct {
	Deployment Deployment
	Policy     Policy
	Settings   dhplacement.Settings
	// Rate is the mean number of requests per second.
	Rate float64
	// Sessions, when set, replaces Rate: so many sessions are always open and
	// ask without think time.
	Sessions int
	Seed     uint64
	// FreePrefill makes prompts cost nothing, as if every prefix cache held
	// them: the bound of what any affinity can gain.
	FreePrefill bool
	// Warmup precedes the measured Length; 60 s and 240 s by default.
	Warmup, Length time.Duration
}

func versionOf(model string) dhtable.Version { return dhtable.Version{Model: model, Name: "v1"} }

// sessionsPerReplica keeps all slots of the engines busy.
const sessionsPerReplica = 32

// Capacity returns the requests per second that round robin completes when
// sessions without think time keep all backend servers busy. Sessions run to
// their end, so that the mix of first and later turns is that of a normal run.
func Capacity(d Deployment, seed uint64) float64 {
	r := Run{Deployment: d, Policy: RoundRobin, Settings: dhplacement.Defaults(), Sessions: sessionsPerReplica * d.Replicas, Seed: seed, Warmup: time.Minute, Length: 2 * time.Minute}
	result := r.Do()
	return float64(result.Completed) / r.Length.Seconds()
}
