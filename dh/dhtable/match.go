package dhtable

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Match says which HTTP requests belong to a route. The zero value matches none.
type Match struct {
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
}

// Target is a pool that gets a part of a route's requests.
type Target struct {
	Pool   string
	Weight int
}

// Passing says how a route's HTTP requests are passed on to backend servers.
type Passing struct {
	Match Match
	// Split spreads the requests over pools by weight. Without it they go to
	// the route's pool.
	Split []Target
	// Stream is set when answers are streams of events, Resumable when another
	// backend server can go on with a stream after its last event.
	Stream, Resumable bool
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Objective is the time to the whole answer, or to the first event of a
	// stream, that the caller wants; Pause the longest wanted time between events.
	Objective, Pause time.Duration
}

// Traits are what the operators know of a pool's backend servers.
type Traits struct {
	// MaxConnections is what a backend server accepts from all VMs together; 0
	// means no bound.
	MaxConnections int
	// ColdFor is the length of a cold start and ColdPerSecond the requests a
	// second that a backend server takes in it; 0 means that it has none.
	ColdFor       time.Duration
	ColdPerSecond float64
	// CacheTokens is the memory of an engine in tokens.
	CacheTokens int
}

// Intake bounds what callers may send. Zero values mean no bound of the operators.
type Intake struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	// IdleTimeout is how long an idle connection of a caller is kept at least.
	IdleTimeout time.Duration
}

// WithIntake returns a copy of t with bounds for callers.
func (t *Tables) WithIntake(intake Intake) *Tables {
	c := *t
	c.Intake = intake
	return &c
}

// New returns tables from their parts, with the document that they were read from.
func New(revision uint64, accounts map[string]Account, routes map[string]Route, pools map[string]Pool, text []byte) *Tables {
	t := &Tables{Revision: revision, Accounts: accounts, Routes: routes, Pools: pools, text: text}
	t.byKey = make(map[KeyHash]string)
	for name, a := range accounts {
		for _, hash := range a.KeyHashes {
			t.byKey[hash] = name
		}
	}
	t.byHost = make(map[string][]*Route)
	for name := range routes {
		r := routes[name]
		if r.Match != (Match{}) {
			t.byHost[r.Match.Host] = append(t.byHost[r.Match.Host], &r)
		}
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.Match.PathPrefix), len(a.Match.PathPrefix))
		})
	}
	return t
}

// Find returns the route of an HTTP request: the one with the longest prefix
// of the path among those of the host.
func (t *Tables) Find(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Match.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Target returns the pool for a place in [0, 1) among the route's targets.
func (r *Route) Target(at float64) string {
	sum := 0
	for _, t := range r.Split {
		sum += t.Weight
	}
	at *= float64(sum)
	for _, t := range r.Split {
		if at < float64(t.Weight) {
			return t.Pool
		}
		at -= float64(t.Weight)
	}
	return r.Pool
}
