// Package dhbackend maintains the table of announced backend servers.
//
// The control goroutine owns a Table and applies announcements to it; request
// goroutines read immutable Views.
//
// # Usage
//
//	table := dhbackend.Table{Lease: 2500 * time.Millisecond, MaxBackends: 4096}
//	err := table.Announce(backend)
//	view := table.View(now) // without leaving and expired backend servers
//	for _, b := range view.Pool("atelier-llm") { ... }
package dhbackend

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"
	"unicode/utf8"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

//go:generate ../../bin/stringer -type=State -linecomment

// State is the state that a backend server announces.
type State int

// A backend server is Cold during a cold start, Ready in normal service and
// Leaving while it drains and afterwards.
const (
	Cold    State = iota // cold
	Ready                // ready
	Leaving              // leaving
)

// Backend is one announced backend server. It is immutable.
type Backend struct {
	ID, Address, Zone, Pool string
	// Versions are the loaded versions.
	Versions []dhtable.Version
	// Release is the version of the whole backend server if versions are rolled
	// out by replacing backend servers; Versions then name models only.
	Release string
	// ColdFor is the remaining duration of the cold start at Seen, if known.
	ColdFor time.Duration
	State   State
	// SustainableLoad is the number of concurrent requests that the backend
	// server can run during a cold start.
	SustainableLoad int
	// Slots is the number of concurrent requests that it runs when ready. Running
	// and Waiting are its last load report; ReportAge is the age of the report
	// when it was announced.
	Slots, Running, Waiting int
	// PendingPrefill is the number of prompt tokens of requests without a first token
	// that it has yet to prefill, weighted by the pace of their models.
	PendingPrefill int
	ReportAge      time.Duration
	// ChecksFencing is set if it refuses orders with an old fencing token.
	ChecksFencing bool
	// Incarnation increases with each restart, Sequence with each announcement.
	Incarnation, Sequence uint64
	// Seen is the time of the last announcement on this VM's clock.
	Seen time.Time
}

// Has reports whether a version is loaded.
func (b *Backend) Has(v dhtable.Version) bool { return slices.Contains(b.Versions, v) }

const (
	// maxNameBytes bounds each name, maxVersions the number of loaded versions and maxLoad
	// the numbers of requests and slots.
	maxNameBytes = 256
	maxVersions  = 256
	maxLoad      = 1 << 20
	// maxColdFor bounds the remaining duration of a cold start.
	maxColdFor = 24 * time.Hour
)

// CheckNames returns an error with the code request-malformed if a name is too long or no
// UTF-8. A message with a name that is no UTF-8 cannot be encoded.
func CheckNames(names ...string) error {
	for _, name := range names {
		if len(name) > maxNameBytes || !utf8.ValidString(name) {
			return dhcode.Errorf(dhcode.RequestMalformed, "the name %.32q has %d bytes; at most %d are accepted, in UTF-8", name, len(name), maxNameBytes)
		}
	}
	return nil
}

// checkBounds returns an error if a field of an announcement is out of its range. All
// VMs keep and pass on what one of them accepts.
func checkBounds(r *dhpb.BackendRecord) error {
	names := []string{r.GetId(), r.GetAddress(), r.GetPool(), r.GetZone(), r.GetRelease()}
	for _, v := range r.GetVersions() {
		names = append(names, v.GetModel(), v.GetVersion())
	}
	if err := CheckNames(names...); err != nil {
		return dhcode.Wrap(dhcode.RequestMalformed, fmt.Errorf("announcement of %.32q: %w", r.GetId(), err))
	}
	for _, n := range []int32{r.GetSlots(), r.GetRunning(), r.GetWaiting(), r.GetSustainableLoad()} {
		if n < 0 || n > maxLoad {
			return dhcode.Errorf(dhcode.RequestMalformed, "announcement of %q has the number %d of slots or requests", r.GetId(), n)
		}
	}
	if d := r.GetColdFor().AsDuration(); d < 0 || d > maxColdFor || len(r.GetVersions()) > maxVersions {
		return dhcode.Errorf(dhcode.RequestMalformed, "announcement of %q has %d versions and a cold start of %s", r.GetId(), len(r.GetVersions()), d)
	}
	return nil
}

// FromRecord converts an announcement. It fails with the code request-malformed
// if the state is unknown, the id, address or pool is empty, or a field is out of its
// range.
func FromRecord(r *dhpb.BackendRecord, now time.Time) (*Backend, error) {
	state, ok := parseState(r.GetState())
	if !ok || r.GetId() == "" || r.GetAddress() == "" || r.GetPool() == "" {
		return nil, dhcode.Errorf(dhcode.RequestMalformed, "announcement of %.32q needs id, address, pool and a known state", r.GetId())
	}
	if err := checkBounds(r); err != nil {
		return nil, err
	}
	b := &Backend{
		ID: r.GetId(), Address: r.GetAddress(), Zone: r.GetZone(), Pool: r.GetPool(), State: state,
		SustainableLoad: int(r.GetSustainableLoad()), Slots: int(r.GetSlots()),
		Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()), ReportAge: r.GetReportAge().AsDuration(),
		ChecksFencing: r.GetChecksFencing(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(),
		Seen: now.Add(-max(r.GetAnnouncementAge().AsDuration(), 0)), Release: r.GetRelease(), ColdFor: r.GetColdFor().AsDuration(),
	}
	for _, v := range r.GetVersions() {
		b.Versions = append(b.Versions, dhtable.Version{Model: v.GetModel(), Name: v.GetVersion()})
	}
	return b, nil
}

func parseState(s string) (State, bool) {
	for state := Cold; state <= Leaving; state++ {
		if state.String() == s {
			return state, true
		}
	}
	return 0, false
}

// Table holds the announced backend servers of one entry VM. It is not safe for
// concurrent use; the control goroutine owns it.
type Table struct {
	// Lease is how long an announcement is valid.
	Lease time.Duration
	// MaxBackends bounds the table.
	MaxBackends int

	backends map[string]*Backend
}

// Announce applies an announcement. It ignores announcements that are not newer
// than the stored one and fails with the code table-full if the table is full.
func (t *Table) Announce(b *Backend) error {
	old, known := t.backends[b.ID]
	if known && !newer(b, old) {
		return nil
	}
	if !known && len(t.backends) >= t.MaxBackends {
		return dhcode.Errorf(dhcode.TableFull, "%d backend servers are announced, at most %d are kept", len(t.backends), t.MaxBackends)
	}
	if t.backends == nil {
		t.backends = make(map[string]*Backend)
	}
	t.backends[b.ID] = b
	return nil
}

func newer(b, old *Backend) bool {
	switch {
	case b.Incarnation != old.Incarnation:
		return b.Incarnation > old.Incarnation
	case b.Sequence != old.Sequence:
		return b.Sequence > old.Sequence
	}
	// A record that expired at a control VM becomes Leaving under the same sequence.
	return b.State == Leaving && old.State != Leaving
}

// Retain removes the backend servers for whose id keep returns false.
func (t *Table) Retain(keep func(id string) bool) {
	for id := range t.backends {
		if !keep(id) {
			delete(t.backends, id)
		}
	}
}

// WithLoad returns a copy of b with the total load that all entry VMs have
// placed on it, received at now and measured age earlier.
func (b *Backend) WithLoad(load Load, now time.Time, age time.Duration) *Backend {
	c := *b
	c.Running, c.PendingPrefill, c.Waiting, c.Seen, c.ReportAge = load.Running, load.PendingPrefill, 0, now, age
	return &c
}

// Load is the load that entry VMs have placed on a backend server: running
// requests, and the prompt tokens of those without a first token that are yet to
// be prefilled, weighted by the pace of their models.
type Load struct{ Running, PendingPrefill int }

// SetLoads sets the total loads that all entry VMs have placed, received at now
// and measured age earlier.
func (t *Table) SetLoads(loads map[string]Load, now time.Time, age time.Duration) {
	for id, b := range t.backends {
		t.backends[id] = b.WithLoad(loads[id], now, age)
	}
}

// Get returns a backend server by id, including one that is leaving.
func (t *Table) Get(id string) (*Backend, bool) {
	b, ok := t.backends[id]
	return b, ok
}

// Len returns the number of records, including leaving backend servers.
func (t *Table) Len() int { return len(t.backends) }

// Expire removes the backend servers whose lease ended before now.
func (t *Table) Expire(now time.Time) {
	for id, b := range t.backends {
		if now.Sub(b.Seen) > t.Lease {
			delete(t.backends, id)
		}
	}
}

// View returns the backend servers that may receive new requests.
func (t *Table) View(now time.Time) *View {
	v := &View{byID: make(map[string]*Backend, len(t.backends)), byPool: make(map[string][]*Backend)}
	for id, b := range t.backends {
		if b.State == Leaving || now.Sub(b.Seen) > t.Lease {
			continue
		}
		v.byID[id] = b
		v.byPool[b.Pool] = append(v.byPool[b.Pool], b)
	}
	for _, list := range v.byPool {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return v
}

// View is an immutable set of backend servers.
type View struct {
	byID   map[string]*Backend
	byPool map[string][]*Backend
}

// Pool returns a pool's backend servers sorted by id. The slice must not be changed.
func (v *View) Pool(name string) []*Backend { return v.byPool[name] }

// Pools returns the names of the pools that have backend servers, sorted.
func (v *View) Pools() []string {
	return slices.Sorted(maps.Keys(v.byPool))
}

// All returns all backend servers in unspecified order.
func (v *View) All() []*Backend {
	list := make([]*Backend, 0, len(v.byID))
	for _, b := range v.byID {
		list = append(list, b)
	}
	return list
}

// Get returns a backend server by id.
func (v *View) Get(id string) (*Backend, bool) {
	b, ok := v.byID[id]
	return b, ok
}

// HasAddress reports whether a backend server has an address.
func (v *View) HasAddress(address string) bool {
	for _, b := range v.byID {
		if b.Address == address {
			return true
		}
	}
	return false
}

// Loaded reports whether any backend server of the pool has loaded the version.
func (v *View) Loaded(pool string, version dhtable.Version) bool {
	return slices.ContainsFunc(v.byPool[pool], func(b *Backend) bool { return b.Has(version) })
}

// Len returns the number of backend servers.
func (v *View) Len() int { return len(v.byID) }
