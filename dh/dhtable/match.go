package dhtable

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Match selects the HTTP requests of a route by host and path prefix. The zero
// value matches none.
type Match struct {
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
}

// Target is a pool that receives a weighted share of a route's requests.
type Target struct {
	Pool   string
	Weight int
}

// Forwarding configures how a route's HTTP requests are forwarded to backend servers.
type Forwarding struct {
	Match Match
	// Split distributes the requests over pools by weight. If it is empty, they
	// go to the route's pool.
	Split []Target
	// Stream is set if responses are event streams, Resumable if another backend
	// server can continue a stream after the last event sent.
	Stream, Resumable bool
	// MaxAttempts limits how many backend servers one request is sent to.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Objective is the target time to the complete response or, for a stream, to
	// the first event. MaxEventGap is the longest target time between two events.
	Objective, MaxEventGap time.Duration
}

// Traits are properties of a pool's backend servers that the operators configure.
type Traits struct {
	// MaxConnections is the number of connections that a backend server accepts
	// from all VMs together; 0 means no limit.
	MaxConnections int
	// ColdFor is the duration of a cold start and ColdPerSecond the requests per
	// second that a backend server can process during it; 0 means no cold start.
	ColdFor       time.Duration
	ColdPerSecond float64
	// CacheTokens is the capacity of an engine's cache in tokens.
	CacheTokens int
}

// RequestLimits limits what callers may send. A zero value means that the operators set
// no limit.
type RequestLimits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	// IdleTimeout is the minimum time that a caller's idle connection is kept open.
	IdleTimeout time.Duration
}

// WithRequestLimits returns a copy of t with the given limits for callers.
func (t *Tables) WithRequestLimits(limits RequestLimits) *Tables {
	c := *t
	c.RequestLimits = limits
	return &c
}

// New returns tables with the given entities and the document that they were
// read from.
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
	for _, candidates := range t.byHost {
		slices.SortFunc(candidates, func(a, b *Route) int {
			return cmp.Compare(len(b.Match.PathPrefix), len(a.Match.PathPrefix))
		})
	}
	return t
}

// FindRoute returns the route of an HTTP request: of the routes for the host, the one
// with the longest matching path prefix.
func (t *Tables) FindRoute(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Match.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Target returns the pool for a position in [0, 1) on the cumulative weights of
// the route's targets, or the route's pool if it has no targets.
func (r *Route) Target(position float64) string {
	sum := 0
	for _, t := range r.Split {
		sum += t.Weight
	}
	position *= float64(sum)
	for _, t := range r.Split {
		if position < float64(t.Weight) {
			return t.Pool
		}
		position -= float64(t.Weight)
	}
	return r.Pool
}
