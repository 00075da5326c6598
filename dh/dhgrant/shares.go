package dhgrant

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// minRate is the lowest rate, in requests per second, at which a limited backend
	// server gets requests, so that the end of its limit is noticed.
	minRate = 0.1
	// burst is the time over which a VM may save up requests of its part. It may
	// always save up maxIdleTokens: with less than one and a half, a part would go
	// unused in the time between two requests of its VM.
	burst         = 100 * time.Millisecond
	maxIdleTokens = 1.5
	// firstTokens is the fraction of a request that a new part has saved up.
	firstTokens = 0.5
	// returnRamp is the time after the end of a limit over which traffic rises to
	// its full rate. The backend server looks idle then, and without the ramp all
	// entry VMs would choose it at the same time.
	returnRamp = time.Second
	// unlistedRetention is how long an observation of this VM is kept that the
	// table of the grantor does not list: several watches of the VMs between them.
	unlistedRetention = 3 * time.Second
	// forgetAfter is how long limits known from a table are kept after it expired,
	// while control VMs confirm that they grant none. A new grantor takes over
	// sooner.
	forgetAfter = 15 * time.Second
)

// Clock measures time including the time during which the VM is suspended.
type Clock interface {
	Elapsed() time.Duration
}

// Shares tracks the rate limits of backend servers on one entry VM, and permits
// requests within the parts that this VM holds. Its exported fields are set before
// use. It is safe for use by several goroutines.
type Shares struct {
	Timers dhtimer.Service
	Clock  Clock
	// VM is this VM's name.
	VM string

	// count is the number of known limits, so that requests take no lock while
	// there are none.
	count atomic.Int32

	mu sync.Mutex
	// own holds the observations of this VM, granted those of the newest table.
	own, granted Limits
	table        *dhpb.GrantTableId
	// expires is when the newest table expires, by Clock.
	expires time.Duration
	parts   map[string]*part
}

// part is this VM's part of a limit: a bucket of requests that may be sent.
type part struct {
	divisor int
	tokens  float64
	filled  time.Duration
	rate    float64
}

// Observe records the limit that an answer of a backend server stated, or that it
// stated none, and reports what changed.
func (s *Shares) Observe(id string, incarnation uint64, o Observation) Change {
	if !o.Limit.Stated && s.count.Load() == 0 {
		return Unchanged
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateCount()
	before, _ := s.known(id, incarnation)
	if g := s.granted.byBackend[id]; g != nil && g.incarnation == incarnation && !o.Limit.Stated && s.own.byBackend[id] == nil {
		// The end of a limit is recorded only after its beginning.
		s.own.Observe(id, incarnation, g.Observation, s.Timers.Now())
	}
	s.own.Observe(id, incarnation, o, s.Timers.Now())
	after, _ := s.known(id, incarnation)
	return changeOf(before, after)
}

func (s *Shares) updateCount() { s.count.Store(int32(s.own.Len() + s.granted.Len())) }

// known returns the limit of an incarnation of a backend server, and since when it
// is known.
func (s *Shares) known(id string, incarnation uint64) (Limit, time.Time) {
	own, granted := s.own.byBackend[id], s.granted.byBackend[id]
	if own != nil && own.incarnation < incarnation {
		own = nil
	}
	if granted != nil && granted.incarnation < incarnation {
		granted = nil
	}
	switch {
	case own == nil && granted == nil:
		return Limit{}, time.Time{}
	case granted == nil || (own != nil && own.incarnation > granted.incarnation):
		return own.Limit, own.since
	case own == nil || granted.incarnation > own.incarnation:
		return granted.Limit, granted.since
	}
	newest := granted.WithNewer(own.Observation)
	if newest == own.Observation {
		return newest.Limit, own.since
	}
	return newest.Limit, granted.since
}

// Available reports whether Acquire would permit a request now. The random number
// draw, from 0 to 1, spreads the requests after a limit has ended; a request with 0
// is permitted at once.
func (s *Shares) Available(b *dhbackend.Backend, draw float64) bool {
	if s.count.Load() == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, since := s.known(b.ID, b.Incarnation)
	if !limit.Stated {
		return since.IsZero() || s.Timers.Now().Sub(since) >= time.Duration(draw*float64(returnRamp))
	}
	p := s.refill(b.ID, limit)
	return p != nil && p.tokens >= 1
}

// Acquire reports whether a request may be sent to a backend server, and counts it.
func (s *Shares) Acquire(b *dhbackend.Backend) bool {
	if s.count.Load() == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, _ := s.known(b.ID, b.Incarnation)
	if !limit.Stated {
		return true
	}
	p := s.refill(b.ID, limit)
	if p == nil || p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// refill returns this VM's part of a limit with the requests that may be sent now,
// or nil if it has none.
func (s *Shares) refill(id string, limit Limit) *part {
	now := s.Clock.Elapsed()
	p := s.parts[id]
	if p == nil || now >= s.expires {
		return nil
	}
	rate := math.Max(limit.PerSecond, minRate) / float64(p.divisor)
	if p.rate > rate {
		p.tokens *= rate / p.rate // a lower limit also applies to requests saved up
	}
	p.rate = rate
	p.tokens = min(p.tokens+rate*(now-p.filled).Seconds(), max(rate*burst.Seconds(), maxIdleTokens))
	p.filled = now
	return p
}

// Wait returns the mean time until a request to a limited backend server may be
// sent, as far as this VM knows, and the limit.
func (s *Shares) Wait(b *dhbackend.Backend) (time.Duration, Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, _ := s.known(b.ID, b.Incarnation)
	if !limit.Stated {
		return returnRamp / 2, limit
	}
	missing, rate := 1.0, math.Max(limit.PerSecond, minRate)
	if p := s.refill(b.ID, limit); p != nil {
		missing, rate = max(1-p.tokens, 0), p.rate
	}
	return time.Duration(missing / rate * float64(time.Second)), limit
}

// Update applies the table in a response of a control VM to a call that was sent
// at a time by Clock; nil stands for a response without a table.
func (s *Shares) Update(t *dhpb.GrantTable, sent time.Duration) {
	if t == nil && s.count.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateCount()
	now := s.Clock.Elapsed()
	if t == nil {
		if now-s.expires > forgetAfter {
			s.granted = Limits{}
		}
		return
	}
	if order := CompareTables(t.GetId(), s.table); order < 0 || (order > 0 && t.GetUnchanged()) {
		return
	}
	s.table = t.GetId()
	if now >= s.expires {
		for _, p := range s.parts { // another VM may have used them since
			p.tokens, p.filled = 0, now
		}
	}
	s.expires = max(s.expires, sent+t.GetRemaining().AsDuration())
	if !t.GetUnchanged() {
		s.applyGrants(t.GetGrants())
	}
	s.dropSuperseded()
}

// applyGrants replaces the limits and the parts by those of a table.
func (s *Shares) applyGrants(grants []*dhpb.RateGrant) {
	now, elapsed := s.Timers.Now(), s.Clock.Elapsed()
	before, parts := s.granted, make(map[string]*part)
	s.granted = Limits{}
	for _, g := range grants {
		l := g.GetLimit()
		s.granted.put(l, now)
		if row, old := s.granted.byBackend[l.GetId()], before.byBackend[l.GetId()]; row != nil && old != nil && old.incarnation == row.incarnation && old.Limit == row.Limit {
			row.since = old.since
		}
		if !slices.Contains(g.GetHolders(), s.VM) {
			continue
		}
		p := s.parts[l.GetId()]
		if p == nil {
			p = &part{filled: elapsed, tokens: firstTokens}
		}
		p.divisor = max(int(g.GetParts()), 1)
		parts[l.GetId()] = p
	}
	s.parts = parts
}

// dropSuperseded removes own observations of limits that have ended according to
// the table, or that it does not list although the grantor has had time to learn
// of them.
func (s *Shares) dropSuperseded() {
	now := s.Timers.Now()
	for id, own := range s.own.byBackend {
		granted := s.granted.byBackend[id]
		switch {
		case granted == nil && now.Sub(own.Answered) > unlistedRetention,
			granted != nil && granted.incarnation > own.incarnation,
			granted != nil && granted.incarnation == own.incarnation && !granted.Limit.Stated && !own.WithNewer(granted.Observation).Limit.Stated:
			delete(s.own.byBackend, id)
		}
	}
}

// Retain removes the observations of backend servers that are gone or have
// restarted.
func (s *Shares) Retain(view *dhbackend.View) {
	if s.count.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateCount()
	incarnations := make(map[string]uint64, view.Len())
	for _, b := range view.All() {
		incarnations[b.ID] = b.Incarnation
	}
	s.own.Retain(s.Timers.Now(), func(id string, incarnation uint64) bool {
		present, ok := incarnations[id]
		return ok && present <= incarnation
	})
}

// Report returns the observations of this VM.
func (s *Shares) Report() []*dhpb.BackendLimit {
	if s.count.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.Records(s.Timers.Now())
}

// Held identifies the newest table.
func (s *Shares) Held() *dhpb.GrantTableId {
	if s.count.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}
