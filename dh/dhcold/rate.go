package dhcold

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhtimer"
)

// Bound is the most requests a second at a cold backend server, summed over
// all entry VMs.
type Bound struct {
	// PerSecond of its pool, by pool. A pool without an entry has no bound.
	PerSecond map[string]float64
	// Overshoot multiplies it and Slack is added.
	Overshoot, Slack float64
	// VMs is the number of entry VMs that share it.
	VMs int
	// Returned holds the zones that were out until a short time ago. Their backend
	// servers may have become cold without a word that has arrived, and being idle
	// they attract requests, so that the bound applies to all of them.
	Returned map[string]bool
}

// rateSafety is the part of the bound that is used: sends of two VMs that lie
// a second apart may arrive closer together.
const rateSafety = 0.8

// settleTime is how long a started VM uses no cold backend server, since the
// others do not count it yet.
const settleTime = 3 * time.Second

// Rates are one entry VM's permissions to send requests to cold backend
// servers whose bound is a number of requests a second. Each VM uses an equal
// part, so that the sum holds without messages. Its exported fields are set
// before use. It is safe for use by several goroutines.
type Rates struct {
	Timers dhtimer.Service
	// VM is this VM's name.
	VM string

	mu      sync.Mutex
	started time.Time
	bound   Bound
	rows    map[string]*rateRow
}

type rateRow struct {
	cold  bool
	limit int
	sent  []time.Time
}

// Update applies the announced backend servers and the bound.
func (r *Rates) Update(backends []*dhbackend.Backend, bound Bound) {
	now := r.Timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started.IsZero() {
		r.started = now
	}
	r.bound = bound
	rows := make(map[string]*rateRow, len(backends))
	for _, b := range backends {
		row := r.rows[b.ID]
		if row == nil {
			row = &rateRow{}
		}
		row.cold = (b.State == dhbackend.Cold || bound.Returned[b.Zone]) && bound.PerSecond[b.Pool] > 0
		row.limit = r.share(b)
		rows[b.ID] = row
	}
	r.rows = rows
}

// share returns how many requests this VM may send in any second. Where there
// are more VMs than requests, a random part of them may send one.
func (r *Rates) share(b *dhbackend.Backend) int {
	vms := max(r.bound.VMs, 1)
	all := (r.bound.PerSecond[b.Pool]*r.bound.Overshoot + r.bound.Slack) * rateSafety
	if n := int(all / float64(vms)); n > 0 {
		return n
	}
	// Half of the bound, so that a random excess stays within it.
	part := float64(xxhash.Sum64String(r.VM+"\x00"+b.ID)>>11) / (1 << 53)
	if part < all/2/float64(vms) {
		return 1
	}
	return 0
}

// Available reports whether Acquire may succeed.
func (r *Rates) Available(b *dhbackend.Backend) bool {
	now := r.Timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.free(b.ID, now)
}

func (r *Rates) free(id string, now time.Time) bool {
	row, ok := r.rows[id]
	if !ok || !row.cold {
		return true
	}
	for len(row.sent) > 0 && now.Sub(row.sent[0]) >= time.Second {
		row.sent = row.sent[1:]
	}
	return now.Sub(r.started) >= settleTime && len(row.sent) < row.limit
}

// Acquire permits a request; release does nothing, since the bound is on the
// begin of requests.
func (r *Rates) Acquire(id string) (release func(), ok bool) {
	now := r.Timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.free(id, now) {
		return nil, false
	}
	if row, known := r.rows[id]; known && row.cold {
		row.sent = append(row.sent, now)
	}
	return func() {}, true
}

// LongestRun returns 0: requests at cold backend servers may run as long as others.
func (*Rates) LongestRun(string) time.Duration { return 0 }

// FirstToken takes no part in the bound.
func (*Rates) FirstToken(string, time.Duration) {}
