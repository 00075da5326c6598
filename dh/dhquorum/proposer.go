package dhquorum

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtimer"
)

// Default timeouts of a Proposer.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultTryTimeout = 300 * time.Millisecond
)

// Backoff after a try that was preempted by another proposer. The minimum is
// about one round trip between zones plus a sync.
const (
	minBackoff = 4 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// Proposer reads and writes registers on a majority of voters. It is safe for
// concurrent use. Fields are set before use; the voter set is set with Adopt.
type Proposer struct {
	// Name is unique among the proposers.
	Name      string
	Transport Transport
	Timers    dhtimer.Service
	// Timeout limits a call whose context has no earlier deadline; 0 means 2 s.
	Timeout time.Duration
	// TryTimeout limits one message; 0 means 300 ms.
	TryTimeout time.Duration
	// Random returns uniform 64-bit numbers for backoff and update IDs; nil
	// means the generator of math/rand/v2.
	Random func() uint64
	// Sequences stores the highest record number of each voter. It can be
	// shared with the membership gossip.
	Sequences Sequences

	known  knownValues
	set    atomic.Pointer[VoterSet]
	number atomic.Uint64
	// updates counts calls of Update, and tries how often they ran both phases.
	updates, tries atomic.Uint64
	// forgetTries is set by tests only: an update then applies f again after
	// a try with an unknown outcome.
	forgetTries bool
}

// Counts returns the number of updates so far and of their tries. The
// difference is the number of retries, which shows contention on registers.
// A Read whose voters disagree counts as an update.
func (p *Proposer) Counts() (updates, tries uint64) { return p.updates.Load(), p.tries.Load() }

// Sequences stores the highest record number seen of each voter. The zero
// value is ready to use.
type Sequences struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// Observe records a record number of a voter.
func (s *Sequences) Observe(id string, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.highest == nil {
		s.highest = make(map[string]uint64)
	}
	s.highest[id] = max(s.highest[id], sequence)
}

// MarkRolledBack marks a voter whose disk was rolled back. No later record
// number of it is accepted: the voter continues counting from the old copy and
// would otherwise reach the highest number seen with different records.
func (s *Sequences) MarkRolledBack(id string) { s.Observe(id, math.MaxUint64) }

// Highest returns the highest record number seen of a voter, or 0.
func (s *Sequences) Highest(id string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest[id]
}

// Adopt replaces the voter set by a decided one if that is newer.
func (p *Proposer) Adopt(set VoterSet) {
	for {
		old := p.set.Load()
		if old != nil && old.Epoch >= set.Epoch {
			return
		}
		if p.set.CompareAndSwap(old, &set) {
			return
		}
	}
}

// Set returns the newest known voter set; its epoch is 0 when none is known.
func (p *Proposer) Set() VoterSet {
	if s := p.set.Load(); s != nil {
		return *s
	}
	return VoterSet{}
}

func (p *Proposer) random() uint64 {
	if p.Random != nil {
		return p.Random()
	}
	return rand.Uint64()
}

func (p *Proposer) nextBallot() ballot {
	return ballot{number: p.number.Add(1), proposer: p.Name}
}

// observe makes the numbers of later ballots higher than that of b.
func (p *Proposer) observe(b ballot) {
	for {
		n := p.number.Load()
		if n >= b.number || p.number.CompareAndSwap(n, b.number) {
			return
		}
	}
}

func (p *Proposer) tryTimeout() time.Duration {
	return cmp.Or(p.TryTimeout, DefaultTryTimeout)
}

func (p *Proposer) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return dhtimer.WithTimeout(ctx, p.Timers, cmp.Or(p.Timeout, DefaultTimeout))
}

// Errors of one try after which the operation is retried.
var (
	errContended   = errors.New("another proposer was faster")
	errEpoch       = errors.New("the voter set has changed")
	errUnreachable = errors.New("no majority of voters answered")
)

func retryable(err error) bool {
	return errors.Is(err, errContended) || errors.Is(err, errEpoch) || errors.Is(err, errUnreachable)
}

// Update reads the value of key on a quorum, applies f, and writes the result
// to a quorum, synced. It returns the current value, which is that of a later
// update if one was applied in between. An empty value is the same as none. f
// may be called several times, but takes effect at most once. An error of f is
// returned unchanged, and nothing is written then.
//
// After quorum-unreachable the update may still take effect later, unless
// dhcode.RanOf of the error is NotRun. Values have at most 2 MiB.
func (p *Proposer) Update(ctx context.Context, key string, f func(old []byte) ([]byte, error)) ([]byte, error) {
	ctx, cancel := p.withTimeout(ctx)
	defer cancel()
	o := &operation{key: key, f: f, id: p.random()}
	p.updates.Add(1)
	for try := 0; ; try++ {
		p.tries.Add(1)
		value, err := p.try(ctx, o)
		if !retryable(err) {
			return value, p.withNotRun(o, err)
		}
		if p.pause(ctx, try, err) != nil {
			return nil, p.withNotRun(o, unreachable(err))
		}
	}
}

func (*Proposer) withNotRun(o *operation, err error) error {
	if code := dhcode.Of(err); !o.sent && code == dhcode.QuorumUnreachable {
		return dhcode.WithRan(err, dhcode.NotRun)
	}
	return err
}

func unreachable(err error) error {
	return dhcode.Wrap(dhcode.QuorumUnreachable, fmt.Errorf("register quorum: %w", err))
}

// pause waits before the next try: not at all for the first 3 tries after a
// change of the voter set, otherwise a random part of an exponential backoff.
func (p *Proposer) pause(ctx context.Context, try int, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, errEpoch) && try < 3 {
		return nil
	}
	d := min(minBackoff<<min(try, 10), maxBackoff)
	return dhtimer.Sleep(ctx, p.Timers, time.Duration(p.random()%uint64(d))+time.Millisecond)
}

// try runs both phases once.
func (p *Proposer) try(ctx context.Context, o *operation) ([]byte, error) {
	set := p.Set()
	b := p.nextBallot()
	prepared, err := p.prepare(ctx, set, o.key, b)
	if err != nil {
		return nil, err
	}
	old, err := parseStored(prepared.value)
	if err != nil {
		return nil, dhcode.Wrap(dhcode.DiskCorrupt, err)
	}
	applied, known := o.applied(old)
	if p.forgetTries {
		applied, known = false, true
	}
	if !known {
		return nil, dhcode.Errorf(dhcode.QuorumUnreachable, "more than %d updates since the last try hide its outcome", maxOps)
	}
	if applied {
		return old.value, p.ensureAccepted(ctx, set, o.key, b, prepared)
	}
	value, refused := o.f(bytes.Clone(old.value))
	if refused == nil && len(value) > MaxValueBytes-1-8*maxOps {
		refused = dhcode.Errorf(dhcode.RequestTooLarge, "value has %d bytes", len(value))
	}
	if refused != nil || bytes.Equal(value, old.value) {
		// The value that f saw must be decided before the caller acts on the result.
		if err := p.ensureAccepted(ctx, set, o.key, b, prepared); err != nil {
			return nil, err
		}
		if refused != nil {
			return nil, refused
		}
		return old.value, nil
	}
	o.markSent(old)
	if err := p.accept(ctx, set, o.key, b, old.withUpdate(o.id, value).encode()); err != nil {
		return nil, err
	}
	return value, nil
}

// ensureAccepted makes sure that a quorum has accepted the value found.
func (p *Proposer) ensureAccepted(ctx context.Context, set VoterSet, key string, b ballot, found prepared) error {
	if found.decided {
		return nil
	}
	return p.accept(ctx, set, key, b, found.value)
}

// Read returns the value of key, or nil when it has none. It writes only when
// the responding voters disagree.
func (p *Proposer) Read(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := p.withTimeout(ctx)
	defer cancel()
	for try := 0; ; try++ {
		value, err := p.readAgreed(ctx, key)
		if err == nil {
			return value, nil
		}
		if !errors.Is(err, errEpoch) {
			break
		}
		if p.pause(ctx, try, err) != nil {
			return nil, unreachable(err)
		}
	}
	return p.Update(ctx, key, func(old []byte) ([]byte, error) { return old, nil })
}

// Peek is like Read but writes nothing when the voters disagree: it then fails
// with quorum-unreachable. VMs that read often use it, so that they do not
// compete with an update in progress.
func (p *Proposer) Peek(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := p.withTimeout(ctx)
	defer cancel()
	value, err := p.readAgreed(ctx, key)
	if errors.Is(err, errEpoch) {
		value, err = p.readAgreed(ctx, key)
	}
	if retryable(err) {
		return nil, unreachable(err)
	}
	return value, err
}
