// Package dhtable holds the two tables that operators edit: routes and pools.
// Routes refer to pools by name.
//
// A Tables value is immutable; maps and slices in it must not be changed.
//
// # Usage
//
//	tables, err := dhtable.Parse("tables.json", data) // errors carry row and column
//	route, ok := tables.Routes["cut-lists"]
//	if tables.Allowed("crew-east", "cut-lists", dhtable.Version{Model: "oak", Name: "v2"}) { ... }
package dhtable

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

//go:generate ../../bin/stringer -type=Stage,PoolKind,OnHold,ChangeKind,entityKind -linecomment -output=enum_string.go

// Format is the supported version of the document format.
const Format = 1

// MaxBytes is the size limit of a document.
const MaxBytes = 1 << 20

// Version names one version of a model. It is written "model/version".
type Version struct {
	Model, Name string
}

// String returns the version as "model/version".
func (v Version) String() string { return v.Model + "/" + v.Name }

// ParseVersion parses "model/version".
func ParseVersion(s string) (Version, bool) {
	model, name, ok := strings.Cut(s, "/")
	return Version{Model: model, Name: name}, ok && model != "" && name != ""
}

// Stage is the lifecycle stage of a version.
type Stage int

// The stages.
const (
	Stable    Stage = iota // stable
	Rollout                // rollout
	Draining               // draining
	Withdrawn              // withdrawn
)

// PoolKind is the kind of a pool's backend servers.
type PoolKind int

// The kinds of pools.
const (
	Engine  PoolKind = iota // engine
	Service                 // service
)

// OnHold selects the sessions to which the hold of a bad rollout applies.
type OnHold int

// The effects of a hold.
const (
	HoldNewSessions OnHold = iota // new-sessions
	HoldAll                       // all
	HoldIgnore                    // ignore
)

// KeyHash is the SHA-256 of a client account's API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash as it is written in the tables.
func (h KeyHash) String() string { return "sha256:" + hex.EncodeToString(h[:]) }

// Account is a client account. Zero limits mean no limit.
type Account struct {
	Name              string
	KeyHashes         []KeyHash
	Weight            int
	RequestsPerSecond float64
	Burst             int
	Concurrency       int
	// Rank overrides the rank that the route gives the account's requests; 0 is
	// the most urgent. If it is nil, the route's rank applies.
	Rank *int
}

// Route defines which accounts may use which versions and how their requests
// are processed.
type Route struct {
	Name       string
	Pool       string
	Repeatable bool
	Class      string
	// Priority is passed to engines; higher is served first.
	Priority  int
	Deadline  time.Duration
	MaxTokens int
	// QualityTarget is the target mean rating in [0, 1]; 0 means the cascade's last model answers.
	QualityTarget float64
	// LatencySensitive is set if a person waits for the first token.
	LatencySensitive bool
	// Cascade lists models in order of cost, the cheapest first.
	Cascade []string
	// Allow maps each client account to the versions it may use, as patterns
	// "model/version" or "model/*".
	Allow map[string][]string
	Forwarding
}

// VersionEntry is a version's row in a pool.
type VersionEntry struct {
	Version
	Stage Stage
	// Share is the percentage of the model's new sessions that use this version.
	Share    float64
	Replicas int
}

// Model is a model of a pool.
type Model struct {
	Name              string
	CostPer1000Tokens float64
	OnHold            OnHold
	// Versions are sorted by name.
	Versions []VersionEntry
}

// Pool is a named set of backend servers.
type Pool struct {
	Name   string
	Kind   PoolKind
	Models map[string]Model
	Traits
}

// Zone is an availability zone.
type Zone struct {
	Name, Region string
	// OutOfService is set while operators have taken the zone out of service.
	OutOfService bool
}

// Tables are one revision of the operators' two tables.
type Tables struct {
	Revision      uint64
	Accounts      map[string]Account
	Routes        map[string]Route
	Pools         map[string]Pool
	Zones         map[string]Zone
	RequestLimits RequestLimits

	byKey  map[KeyHash]string
	byHost map[string][]*Route
	text   []byte
}

// WithRevision returns a copy of t with the given revision.
func (t *Tables) WithRevision(revision uint64) *Tables {
	c := *t
	c.Revision = revision
	return &c
}

// Text returns the document that t was parsed from. It must not be changed.
func (t *Tables) Text() []byte { return t.text }

// AccountByKey returns the client account that owns an API key.
func (t *Tables) AccountByKey(key string) (Account, bool) {
	name, ok := t.byKey[HashKey(key)]
	return t.Accounts[name], ok
}

// Entry returns a version's row in a pool.
func (t *Tables) Entry(pool string, v Version) (VersionEntry, bool) {
	for _, e := range t.Pools[pool].Models[v.Model].Versions {
		if e.Version == v {
			return e, true
		}
	}
	return VersionEntry{}, false
}

// Allowed reports whether an account may use a version on a route: a pattern
// allows it, its model is in the route's cascade and it is not withdrawn.
func (t *Tables) Allowed(account, route string, v Version) bool {
	r, ok := t.Routes[route]
	if !ok || !slices.Contains(r.Cascade, v.Model) {
		return false
	}
	e, ok := t.Entry(r.Pool, v)
	if !ok || e.Stage == Withdrawn {
		return false
	}
	return matches(r.Allow[account], v)
}

// RouteAllowed reports whether an account may use a route at all.
func (t *Tables) RouteAllowed(account, route string) bool {
	return len(t.Routes[route].Allow[account]) > 0
}

// ZoneOut reports whether operators have taken a zone out of service.
func (t *Tables) ZoneOut(zone string) bool { return t.Zones[zone].OutOfService }

func matches(patterns []string, v Version) bool {
	for _, p := range patterns {
		if p == v.Model+"/*" || p == v.String() {
			return true
		}
	}
	return false
}
