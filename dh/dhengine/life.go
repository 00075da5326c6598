package dhengine

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtable"
)

// Faults are the faults of one version.
type Faults struct {
	// ErrorRate is the share of requests that fail at some token.
	ErrorRate float64 `json:"error-rate"`
	// Slowness multiplies the times of the version's work; below 1 means 1.
	Slowness float64 `json:"slowness"`
	// ShortRate is the share of answers that end after a quarter of their
	// tokens, with the last chunk marked as such.
	ShortRate float64 `json:"short-rate"`
}

// reportPeriod is how often the load is sampled for reports.
const reportPeriod = 250 * time.Millisecond

type report struct {
	at               time.Time
	cold             bool
	running, waiting int
}

type lifeState struct {
	coldUntil  time.Time
	graceUntil time.Time
	down       bool
	leaving    bool
	leftAt     time.Time
}

func (s *lifeState) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// SetFaults sets the faults of a version; they apply to requests that arrive later.
func (m *Model) SetFaults(v dhtable.Version, f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[v] = f
}

func (m *Model) has(v dhtable.Version) bool { return slices.Contains(m.versions, v) }

// enterCold begins a cold start that is fatal under overload only after grace.
func (m *Model) enterCold(now time.Time, grace time.Duration) {
	m.state.coldUntil = now.Add(m.ColdStart.For)
	m.state.graceUntil = now.Add(grace)
}

// GoCold turns the model cold without warning: running requests go on slowly
// and the prefix cache is lost. Reports say so after the report lag.
func (m *Model) GoCold() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Timers.Now()
	m.enterCold(now, m.ColdStart.Grace)
	m.dropCache(now)
}

func (m *Model) dropCache(now time.Time) {
	m.events.next += uint64(len(m.cache.rows)) // the removals are lost: a gap in the sequence
	m.events.last = now
	m.cache = newPrefixCache(m.CacheBlocks)
}

// Crash fails all requests. The model restarts cold, with a higher
// incarnation, after ColdStart.Restart.
func (m *Model) Crash() {
	m.mu.Lock()
	m.crash(m.Timers.Now())
	m.unlockAndDeliver()
}

func (m *Model) crash(now time.Time) {
	if m.state.down {
		return
	}
	m.stats.Crashes++
	m.failAll(dhcode.Errorf(dhcode.BackendFailed, "backend server %q crashed", m.ID))
	m.state.down = true
	m.dropCache(now)
	epoch := m.epoch
	m.Timers.After(m.ColdStart.Restart, func(now time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if epoch != m.epoch {
			return
		}
		m.state.down = false
		m.Incarnation++
		m.enterCold(now, 0)
		m.reports = nil
		m.addReport(now)
	})
}

// checkColdLoad crashes a cold model that has more load than it sustains.
func (m *Model) checkColdLoad(now time.Time) {
	if !m.state.cold(now) || now.Before(m.state.graceUntil) {
		return
	}
	load := len(m.running) + m.queue.len()
	m.stats.ColdPeak = max(m.stats.ColdPeak, load)
	if load > m.ColdStart.SustainableLoad {
		m.crash(now)
	}
}

// Stall keeps the model from sending anything for d. New requests are accepted.
func (m *Model) Stall(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalled = m.Timers.Now().Add(d)
}

// Leave begins leaving: announcements say so at once, work is accepted for
// LeaveGrace more and running work completes.
func (m *Model) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.state.leaving {
		m.state.leaving, m.state.leftAt = true, m.Timers.Now()
	}
}

// Left reports whether a leaving model accepts nothing any more and is idle.
func (m *Model) Left() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.leaving && m.Timers.Now().Sub(m.state.leftAt) > m.LeaveGrace &&
		len(m.running)+m.queue.len() == 0
}

// Down reports whether the model has crashed and not yet restarted.
func (m *Model) Down() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.down
}

func (m *Model) addReport(now time.Time) {
	m.reports = append(m.reports, report{at: now, cold: m.state.cold(now), running: len(m.running), waiting: m.queue.len()})
	keep := 0
	for keep < len(m.reports)-1 && now.Sub(m.reports[keep+1].at) >= m.ReportLag {
		keep++
	}
	m.reports = slices.Delete(m.reports, 0, keep)
}

// Record returns the next announcement: the newest load report that is at
// least ReportLag old. It returns nil while the model is down.
func (m *Model) Record() *dhpb.BackendRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.down {
		return nil
	}
	now := m.Timers.Now()
	m.addReport(now)
	r := m.reports[0]
	m.sequence++
	state := dhbackend.Ready
	if r.cold {
		state = dhbackend.Cold
	}
	if m.state.leaving {
		state = dhbackend.Leaving
	}
	record := &dhpb.BackendRecord{
		Id: m.ID, Address: m.Address, Zone: m.Zone, Pool: m.Pool, State: state.String(),
		SustainableLoad: int32(m.ColdStart.SustainableLoad), Slots: int32(m.Slots),
		Running: int32(r.running), Waiting: int32(r.waiting), ReportAge: durationpb.New(now.Sub(r.at)),
		ChecksFencing: !m.IgnoreFencing, Sequence: m.sequence, Incarnation: m.Incarnation,
	}
	for _, v := range m.versions {
		record.Versions = append(record.Versions, &dhpb.LoadedVersion{Model: v.Model, Version: v.Name})
	}
	return record
}

// Order carries out a load or an unload. An old fencing token is refused
// unless IgnoreFencing is set; the response names the highest one seen. Other
// kinds are refused with the code request-malformed.
func (m *Model) Order(o *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := dhtable.Version{Model: o.GetModel(), Name: o.GetVersion()}
	if (o.GetKind() != "load" && o.GetKind() != "unload") || v.Model == "" || v.Name == "" {
		return nil, dhcode.Errorf(dhcode.RequestMalformed, "order %q of version %q is not known", o.GetKind(), v)
	}
	if m.state.down {
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, "backend server %q is down", m.ID), dhcode.NotRun)
	}
	if o.GetFencingToken() < m.highest && !m.IgnoreFencing {
		return &dhpb.OrderResponse{HighestFencingToken: m.highest}, nil
	}
	m.highest = max(m.highest, o.GetFencingToken())
	if o.GetKind() == "unload" {
		m.versions = slices.DeleteFunc(m.versions, func(w dhtable.Version) bool { return w == v })
	} else {
		m.load(v)
	}
	return &dhpb.OrderResponse{Accepted: true, HighestFencingToken: m.highest}, nil
}

func (m *Model) load(v dhtable.Version) {
	epoch := m.epoch
	m.Timers.After(m.LoadFor, func(time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if epoch == m.epoch && !m.has(v) {
			m.versions = append(m.versions, v)
		}
	})
}

// startExecutions starts waiting requests of a plain service in free slots.
func (m *Model) startExecutions() {
	for len(m.running) < m.Slots && m.queue.len() > 0 && !m.state.down {
		r := m.queue.pop()
		now := m.Timers.Now()
		if !r.deadline.IsZero() && !now.Before(r.deadline) {
			m.finish(r, dhcode.WithRan(dhcode.Errorf(dhcode.DeadlineExceeded, "deadline passed in the queue of backend server %q", m.ID), dhcode.NotRun))
			continue
		}
		m.running = append(m.running, r)
		m.ran[r.req.GetRequestId()]++
		m.execute(r, now)
	}
}

func (m *Model) execute(r *request, now time.Time) {
	slowness := max(m.faults[r.version].Slowness, 1)
	if m.state.cold(now) {
		slowness *= m.ColdStart.Slowness
	}
	d := scale(m.Costs.Service, slowness*(0.5+m.rng.Float64())) + max(m.stalled.Sub(now), 0)
	epoch := m.epoch
	m.Timers.After(d, func(time.Time) {
		m.mu.Lock()
		if epoch == m.epoch {
			m.running = slices.DeleteFunc(m.running, func(x *request) bool { return x == r })
			switch {
			case r.ended: // cancelled after it began; the execution had its effect
			case r.failAt >= 0:
				m.finish(r, dhcode.Errorf(dhcode.BackendFailed, "request %q failed after it ran on backend server %q", r.req.GetRequestId(), m.ID))
			default:
				m.out = append(m.out, delivery{request: r, chunk: r.chunk(r.tokens)})
				m.finish(r, nil)
			}
			m.startExecutions()
		}
		m.unlockAndDeliver()
	})
}
