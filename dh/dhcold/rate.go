package dhcold

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtimer"
)

// Bound is the maximum rate of requests to a cold backend server, summed over all
// entry VMs.
type Bound struct {
	// PerSecond is the number of requests per second by pool. A pool without an
	// entry has no bound.
	PerSecond map[string]float64
	// Overshoot is a factor on PerSecond; Slack is added to the product.
	Overshoot, Slack float64
	// VMs is the number of entry VMs that share the bound.
	VMs int
	// ReturnedZones holds the zones that were taken out until recently. Their backend
	// servers may have become cold without an announcement that arrived, and they
	// attract requests because they are idle, so the bound applies to all of them.
	ReturnedZones map[string]bool
}

// rateSafety is the fraction of the bound that is used, because requests that two
// VMs send a second apart may arrive closer together.
const rateSafety = 0.8

// startDelay is how long a VM sends no requests to cold backend servers after its
// start, because the other VMs do not yet count it in Bound.VMs.
const startDelay = 3 * time.Second

// Rates limits the rate at which one entry VM sends requests to cold backend
// servers. Each VM uses an equal share of the bound, so that the total stays within
// it without messages. Its exported fields are set before use. It is safe for use by
// several goroutines.
type Rates struct {
	Timers dhtimer.Service
	// VM is this VM's name.
	VM string

	mu        sync.Mutex
	started   time.Time
	bound     Bound
	byBackend map[string]*rateState
}

type rateState struct {
	cold  bool
	limit int
	sent  []time.Time
}

// Update sets the announced backend servers and the bound.
func (r *Rates) Update(backends []*dhbackend.Backend, bound Bound) {
	now := r.Timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started.IsZero() {
		r.started = now
	}
	r.bound = bound
	rows := make(map[string]*rateState, len(backends))
	for _, b := range backends {
		row := r.byBackend[b.ID]
		if row == nil {
			row = &rateState{}
		}
		row.cold = (b.State == dhbackend.Cold || bound.ReturnedZones[b.Zone]) && bound.PerSecond[b.Pool] > 0
		row.limit = r.share(b)
		rows[b.ID] = row
	}
	r.byBackend = rows
}

// share returns how many requests this VM may send in any second. If there are
// more VMs than requests, a pseudorandom subset of the VMs may send one each.
func (r *Rates) share(b *dhbackend.Backend) int {
	vms := max(r.bound.VMs, 1)
	total := (r.bound.PerSecond[b.Pool]*r.bound.Overshoot + r.bound.Slack) * rateSafety
	if n := int(total / float64(vms)); n > 0 {
		return n
	}
	// The expected number of such VMs is half of the bound, so that a random excess
	// stays within it.
	draw := float64(xxhash.Sum64String(r.VM+"\x00"+b.ID)>>11) / (1 << 53)
	if draw < total/2/float64(vms) {
		return 1
	}
	return 0
}

// Available reports whether Acquire would permit a request now.
func (r *Rates) Available(b *dhbackend.Backend) bool {
	now := r.Timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permits(b.ID, now)
}

func (r *Rates) permits(id string, now time.Time) bool {
	row, ok := r.byBackend[id]
	if !ok || !row.cold {
		return true
	}
	for len(row.sent) > 0 && now.Sub(row.sent[0]) >= time.Second {
		row.sent = row.sent[1:]
	}
	return now.Sub(r.started) >= startDelay && len(row.sent) < row.limit
}

// Acquire reports whether a request may be sent, and counts it. Release does
// nothing, because the bound applies to the start of requests.
func (r *Rates) Acquire(id string) (release func(), ok bool) {
	now := r.Timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.permits(id, now) {
		return nil, false
	}
	if row, known := r.byBackend[id]; known && row.cold {
		row.sent = append(row.sent, now)
	}
	return func() {}, true
}

// MaxRun returns 0: requests on cold backend servers may run as long as others.
func (*Rates) MaxRun(string) time.Duration { return 0 }

// FirstToken does nothing, because the bound does not depend on the time to first token.
func (*Rates) FirstToken(string, time.Duration) {}
