// Package dhsetting loads and validates the settings of a daemon from one file
// of JSON with comments.
//
// # Usage
//
//	settings, err := dhsetting.Load("dandelionhoistd.json") // errors carry file, row and column
//	fmt.Print(dhsetting.Describe())                         // every setting with unit and default
//
// A Settings value is immutable once loaded.
package dhsetting

import (
	"os"
	"slices"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhjson"
)

// Format is the version of the settings format.
const Format = 1

// Settings holds all settings of one daemon.
type Settings struct {
	Format int    `json:"format" doc:"version of the settings format"`
	Name   string `json:"name" doc:"name of this VM, unique in the deployment; a replaced VM gets a new one"`
	Zone   string `json:"zone" doc:"availability zone of this VM"`
	Region string `json:"region" doc:"region of this VM"`

	Listen Listen `json:"listen" doc:"addresses"`
	Peers  Peers  `json:"peers" doc:"other entry VMs"`
	Keys   Keys   `json:"keys" doc:"files with keys; the files hold one key a line"`
	State  State  `json:"state" doc:"durable state"`
	Rating Rating `json:"rating" doc:"the platform's rating service"`
	Timing Timing `json:"timing" doc:"periods and leases"`
	Limits Limits `json:"limits" doc:"bounds"`
}

// Listen holds the listen addresses and TLS files of a daemon.
type Listen struct {
	Callers   string `json:"callers" doc:"IP and port for callers"`
	Operators string `json:"operators" doc:"IP and port for operators and metrics"`
	Peers     string `json:"peers" doc:"IP and port for entry VMs and announcements of backend servers"`
	CertFile  string `json:"cert-file" doc:"TLS certificate for callers and operators, read again when it changes; empty means no TLS"`
	KeyFile   string `json:"key-file" doc:"TLS key that belongs to cert-file"`
}

// Peers holds the seed addresses for discovery of other entry VMs and the
// numbers by which entry VMs divide limits and cold-start credits.
type Peers struct {
	Seeds     []string `json:"seeds" doc:"peer addresses to start from"`
	ZoneSlot  int      `json:"zone-slot" doc:"number of this VM in its zone, from 0; names its share of cold-start credits and limits"`
	ZoneSlots int      `json:"zone-slots" doc:"number of entry VMs in the zone, replacements not counted"`
	EntryVMs  int      `json:"entry-vms" doc:"number of entry VMs in the deployment; each gets this part of an account's limits"`
}

// Keys holds the paths of the key files.
type Keys struct {
	PeerFile     string `json:"peer-file" doc:"keys between entry VMs and backend servers; the first is used, all are accepted"`
	OperatorFile string `json:"operator-file" doc:"SHA-256 hashes of operators' keys, one a line"`
	SessionFile  string `json:"session-file" doc:"keys that sign session tokens; the first signs, all are accepted"`
}

// State configures the durable state of this VM and the first voters.
type State struct {
	Folder string  `json:"folder" doc:"folder of the durable state; empty means that this VM has no disk"`
	Voters []Voter `json:"voters" doc:"the first voters, 1, 3 or 5 of them: {address: peer address, zone: availability zone}; the same on all VMs"`
}

// Voter is a member of the first voter set, which stores durable state.
type Voter struct {
	Address string `json:"address" doc:"peer address"`
	Zone    string `json:"zone" doc:"availability zone"`
}

// IsVoter reports whether this VM is one of the first voters.
func (s Settings) IsVoter() bool {
	return slices.ContainsFunc(s.State.Voters, func(v Voter) bool { return v.Address == s.Listen.Peers })
}

// Rating configures the rating service and the rate and wait limits of its use.
type Rating struct {
	Address   string          `json:"address" doc:"IP and port of the rating service; empty means that there is none, and the last model of each cascade answers"`
	PerSecond float64         `json:"per-second" doc:"most ratings asked for each second by this VM"`
	Inline    dhjson.Duration `json:"inline" doc:"longest wait for a rating that decides whether an answer is escalated, on routes that are not latency-sensitive"`
}

// Timing holds periods, lease durations and timeouts.
type Timing struct {
	Tick           dhjson.Duration `json:"tick" doc:"period of the control loop"`
	GossipPeriod   dhjson.Duration `json:"gossip-period" doc:"time between two probes of other entry VMs"`
	TablesLease    dhjson.Duration `json:"tables-lease" doc:"time after which tables that the voters have not confirmed count as stale"`
	BackendLease   dhjson.Duration `json:"backend-lease" doc:"time that an announcement of a backend server is valid"`
	ClaimRetention dhjson.Duration `json:"claim-retention" doc:"time that idempotency keys are kept"`
	AnswerKept     dhjson.Duration `json:"answer-kept" doc:"time that an answer can be resumed after it has ended"`
	QuorumTimeout  dhjson.Duration `json:"quorum-timeout" doc:"longest wait for a majority of voters"`
	LeaveNotice    dhjson.Duration `json:"leave-notice" doc:"time from the failing health check to the refusal of new work in a graceful shutdown; longer than the balancer's check period"`
	StopLimit      dhjson.Duration `json:"stop-limit" doc:"hard limit of a graceful shutdown"`
	VoterReplaced  dhjson.Duration `json:"voter-replaced" doc:"time after which an unresponsive voter is replaced"`
}

// Limits holds upper bounds on sizes and counts.
type Limits struct {
	RequestBytes    int `json:"request-bytes" doc:"largest request body in bytes"`
	AnswerBytes     int `json:"answer-bytes" doc:"largest answer in bytes"`
	Answers         int `json:"answers" doc:"most answers held for resuming"`
	Backends        int `json:"backends" doc:"most backend servers known"`
	Queue           int `json:"queue" doc:"most requests waiting in a pool's queue"`
	Attempts        int `json:"attempts" doc:"most attempts of a request"`
	Bills           int `json:"bills" doc:"most bills held for the voters"`
	HistogramLabels int `json:"histogram-labels" doc:"most accounts and classes with a histogram of their own"`
}

// Default returns the default values of settings that the file omits.
func Default() Settings {
	return Settings{
		Format: Format,
		Listen: Listen{Callers: "127.0.0.1:8080", Operators: "127.0.0.1:8081", Peers: "127.0.0.1:8082"},
		Peers:  Peers{ZoneSlots: 1, EntryVMs: 1},
		Timing: Timing{
			Tick:           dhjson.Duration(100 * time.Millisecond),
			GossipPeriod:   dhjson.Duration(500 * time.Millisecond),
			TablesLease:    dhjson.Duration(3 * time.Second),
			BackendLease:   dhjson.Duration(2500 * time.Millisecond),
			ClaimRetention: dhjson.Duration(24 * time.Hour),
			AnswerKept:     dhjson.Duration(time.Minute),
			QuorumTimeout:  dhjson.Duration(2 * time.Second),
			LeaveNotice:    dhjson.Duration(5 * time.Second),
			StopLimit:      dhjson.Duration(10 * time.Minute),
			VoterReplaced:  dhjson.Duration(10 * time.Minute),
		},
		Rating: Rating{PerSecond: 2, Inline: dhjson.Duration(time.Second)},
		Limits: Limits{
			RequestBytes: 1 << 20, AnswerBytes: 1 << 20, Answers: 4096, Backends: 4096, Queue: 1024,
			Attempts: 3, Bills: 65536, HistogramLabels: 64,
		},
	}
}

// Load reads and validates a settings file. Errors carry the code settings-invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, dhcode.Wrap(dhcode.SettingsInvalid, err)
	}
	return Parse(path, data)
}

// Parse parses and validates settings. The name is used in error messages.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	doc, err := dhjson.Parse(name, data)
	if err == nil {
		err = doc.Decode(&s)
	}
	if err == nil {
		err = check(doc, s)
	}
	return s, dhcode.Wrap(dhcode.SettingsInvalid, err)
}
