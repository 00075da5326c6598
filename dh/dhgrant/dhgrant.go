// Package dhgrant divides the rate limits of backend servers among the entry VMs.
//
// A backend server may state how many requests per second it accepts from all
// entry VMs together. No entry VM can enforce such a limit alone, and an equal
// share each is no answer either: with more entry VMs than requests per second
// it rounds to nothing or to too much. Instead, one control VM at a time, the
// grantor, divides each limit into a few parts and grants each part to one entry
// VM for a short term:
//
//   - Entry VMs report the limits that answers state (Observation) with their
//     watches. Limits keeps the newest observation of each backend server.
//   - The Allocator of the grantor chooses the holders of the parts.
//   - Shares is used by entry VMs. It permits a request to a limited backend
//     server only within a part that this VM holds. Without a valid grant it
//     permits none, so that a VM that is cut off does not use a part that may
//     meanwhile belong to another.
//
// A part that is taken from one VM is granted to another only after every copy of
// the table that granted it has expired.
//
// # Usage
//
//	shares := &dhgrant.Shares{Timers: timers, Clock: dhtimer.Boot{}, VM: "edge-1"}
//	change := shares.Observe(b.ID, b.Incarnation, dhgrant.Observation{Limit: limit, Sent: sent, Answered: now})
//	if shares.Acquire(b) { ... } // before each send
//
//	allocator := &dhgrant.Allocator{Term: 2 * time.Second}
//	table := allocator.Allocate(now, limits, backends, vms) // on the grantor, periodically
package dhgrant

import (
	"math"
	"strconv"
	"time"
)

// Limit is the number of requests per second that a backend server accepts from
// all entry VMs together. The zero value is no limit. A Limit is immutable.
type Limit struct {
	Stated    bool
	PerSecond float64
}

// Rate returns the requests per second, which are infinite without a limit.
func (l Limit) Rate() float64 {
	if !l.Stated {
		return math.Inf(1)
	}
	return l.PerSecond
}

// String returns the limit as it appears in log lines.
func (l Limit) String() string {
	if !l.Stated {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}

// Observation is the limit that an answer of a backend server stated, or that it
// stated none. The backend server wrote it between Sent, when the request was
// sent, and Answered, when the head of the answer arrived.
type Observation struct {
	Limit          Limit
	Sent, Answered time.Time
}

// WithNewer returns the observation that holds after another one is known.
// Answers arrive in any order: if it is unknown which of two observations the
// backend server made last, the lower limit holds.
func (o Observation) WithNewer(n Observation) Observation {
	switch {
	case n.Answered.Before(o.Sent):
		return o
	case !n.Sent.Before(o.Answered):
		return n
	case n.Limit.Rate() < o.Limit.Rate():
		return n
	case n.Limit == o.Limit && n.Answered.After(o.Answered):
		return n
	}
	return o
}

//go:generate ../../bin/stringer -type=Change -linecomment

// Change is what an observation changed in the known limit of a backend server.
type Change int

// The values of Change.
const (
	Unchanged Change = iota // unchanged
	Begun                   // begun
	Changed                 // changed
	Ended                   // ended
)
