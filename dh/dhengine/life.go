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

// Faults configures fault injection for one version.
type Faults struct {
	// ErrorRate is the fraction of requests that fail at a random token.
	ErrorRate float64 `json:"error-rate"`
	// Slowness multiplies the processing time of the version; values below 1
	// are treated as 1.
	Slowness float64 `json:"slowness"`
	// ShortRate is the fraction of answers that end after a quarter of their
	// tokens, with the final chunk marked as the last one.
	ShortRate float64 `json:"short-rate"`
}

// reportPeriod is the interval between load reports.
const reportPeriod = 250 * time.Millisecond

type loadReport struct {
	sampledAt        time.Time
	cold             bool
	running, waiting int
}

type lifecycleState struct {
	coldUntil    time.Time
	graceUntil   time.Time
	down         bool
	leaving      bool
	leavingSince time.Time
}

func (s *lifecycleState) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// SetFaults sets the faults of a version. Errors and short answers affect only
// requests that arrive later; slowness also affects running ones.
func (m *Model) SetFaults(v dhtable.Version, f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[v] = f
}

func (m *Model) isLoaded(v dhtable.Version) bool { return slices.Contains(m.versions, v) }

// beginColdStart begins a cold start in which overload causes a crash only
// after grace.
func (m *Model) beginColdStart(now time.Time, grace time.Duration) {
	m.state.coldUntil = now.Add(m.ColdStart.For)
	m.state.graceUntil = now.Add(grace)
}

// GoCold begins an unannounced cold start: running requests continue slowly and
// the prefix cache is lost. Announcements show the cold state only after
// ReportLag.
func (m *Model) GoCold() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Timers.Now()
	m.beginColdStart(now, m.ColdStart.Grace)
	m.dropCache(now)
}

func (m *Model) dropCache(now time.Time) {
	m.events.lastSequence += uint64(len(m.cache.elements)) // the sequence gap stands for the removal events, which are lost
	m.events.lastDue = now
	m.cache = newPrefixCache(m.CacheBlocks)
}

// Crash fails all requests. After ColdStart.Restart the model restarts with a
// cold start and a higher incarnation.
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
		m.beginColdStart(now, 0)
		m.reports = nil
		m.addReport(now)
	})
}

// checkColdLoad crashes the model if its load exceeds SustainableLoad during a
// cold start.
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

// Stall delays the steps and executions that start within d until d has passed.
// New requests are accepted.
func (m *Model) Stall(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalledUntil = m.Timers.Now().Add(d)
}

// Leave puts the model into the leaving state, which announcements show at
// once. New requests are accepted for another LeaveGrace, and accepted ones
// complete.
func (m *Model) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.state.leaving {
		m.state.leaving, m.state.leavingSince = true, m.Timers.Now()
	}
}

// Left reports whether a leaving model no longer accepts requests and is idle.
func (m *Model) Left() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.leaving && m.Timers.Now().Sub(m.state.leavingSince) > m.LeaveGrace &&
		len(m.running)+m.queue.len() == 0
}

// Down reports whether the model has stopped, or has crashed and not yet restarted.
func (m *Model) Down() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.down
}

// addReport samples the load and drops reports that are superseded by a newer
// one at least ReportLag old.
func (m *Model) addReport(now time.Time) {
	m.reports = append(m.reports, loadReport{sampledAt: now, cold: m.state.cold(now), running: len(m.running), waiting: m.queue.len()})
	keep := 0
	for keep < len(m.reports)-1 && now.Sub(m.reports[keep+1].sampledAt) >= m.ReportLag {
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
		Running: int32(r.running), Waiting: int32(r.waiting), ReportAge: durationpb.New(now.Sub(r.sampledAt)),
		ChecksFencing: !m.IgnoreFencing, Sequence: m.sequence, Incarnation: m.Incarnation,
	}
	for _, v := range m.versions {
		record.Versions = append(record.Versions, &dhpb.LoadedVersion{Model: v.Model, Version: v.Name})
	}
	return record
}

// Order loads or unloads a version. An order with an old fencing token is
// refused unless IgnoreFencing is set; the response contains the highest token
// seen. Other kinds of order return an error with the code request-malformed.
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
	if o.GetFencingToken() < m.highestFencingToken && !m.IgnoreFencing {
		return &dhpb.OrderResponse{HighestFencingToken: m.highestFencingToken}, nil
	}
	m.highestFencingToken = max(m.highestFencingToken, o.GetFencingToken())
	if o.GetKind() == "unload" {
		m.versions = slices.DeleteFunc(m.versions, func(w dhtable.Version) bool { return w == v })
	} else {
		m.load(v)
	}
	return &dhpb.OrderResponse{Accepted: true, HighestFencingToken: m.highestFencingToken}, nil
}

func (m *Model) load(v dhtable.Version) {
	epoch := m.epoch
	m.Timers.After(m.LoadFor, func(time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if epoch == m.epoch && !m.isLoaded(v) {
			m.versions = append(m.versions, v)
		}
	})
}

// startExecutions moves waiting requests of a plain service to free slots.
func (m *Model) startExecutions() {
	for len(m.running) < m.Slots && m.queue.len() > 0 && !m.state.down {
		r := m.queue.pop()
		now := m.Timers.Now()
		if !r.deadline.IsZero() && !now.Before(r.deadline) {
			m.finish(r, dhcode.WithRan(dhcode.Errorf(dhcode.DeadlineExceeded, "deadline passed in the queue of backend server %q", m.ID), dhcode.NotRun))
			continue
		}
		m.running = append(m.running, r)
		m.executions[r.req.GetRequestId()]++
		m.execute(r, now)
	}
}

func (m *Model) execute(r *request, now time.Time) {
	slowness := max(m.faults[r.version].Slowness, 1)
	if m.state.cold(now) {
		slowness *= m.ColdStart.Slowness
	}
	d := scale(m.Costs.Service, slowness*(0.5+m.rng.Float64())) + max(m.stalledUntil.Sub(now), 0)
	epoch := m.epoch
	m.Timers.After(d, func(time.Time) {
		m.mu.Lock()
		if epoch == m.epoch {
			m.running = slices.DeleteFunc(m.running, func(x *request) bool { return x == r })
			switch {
			case r.ended: // cancelled during the execution, which cannot be undone
			case r.failAt >= 0:
				m.finish(r, dhcode.Errorf(dhcode.BackendFailed, "request %q failed after it ran on backend server %q", r.req.GetRequestId(), m.ID))
			default:
				m.deliveries = append(m.deliveries, delivery{request: r, chunk: r.chunk(r.tokens)})
				m.finish(r, nil)
			}
			m.startExecutions()
		}
		m.unlockAndDeliver()
	})
}
