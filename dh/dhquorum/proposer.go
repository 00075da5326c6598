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

// Defaults of a Proposer's times.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultTryTimeout = 300 * time.Millisecond
)

// Backoff after a try that lost against another proposer. The first value is
// about one round trip between zones with a sync.
const (
	minBackoff = 4 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// Proposer reads and writes registers on a majority of voters. It is safe for
// concurrent use. Fields are set before use, the voter set with Adopt.
type Proposer struct {
	// Name is unique among the proposers.
	Name      string
	Transport Transport
	Timers    dhtimer.Service
	// Timeout bounds a call whose context has no earlier end; 0 means 2 s.
	Timeout time.Duration
	// TryTimeout bounds one message; 0 means 300 ms.
	TryTimeout time.Duration
	// Random returns uniform 64-bit numbers for backoff and update numbers;
	// nil means the runtime's generator.
	Random func() uint64
	// Sequences remembers the highest record number of each voter. It can be
	// shared with the membership gossip.
	Sequences Sequences

	known  knownValues
	set    atomic.Pointer[VoterSet]
	number atomic.Uint64
	// updates and tries count calls of Update and their runs of both phases.
	updates, tries atomic.Uint64
	// forgetTries is set by tests only: an update then applies f again after
	// a try with an unknown outcome.
	forgetTries bool
}

// Counts returns the number of updates so far and of their tries. The
// difference is the retries, by which the choice of registers is judged.
// A Read whose voters do not agree counts as an update.
func (p *Proposer) Counts() (updates, tries uint64) { return p.updates.Load(), p.tries.Load() }

// Sequences remembers the highest record number seen of each voter. The zero
// value is ready.
type Sequences struct {
	mu      sync.Mutex
	highest map[string]uint64
}

// Observe notes a record number of a voter.
func (s *Sequences) Observe(id string, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.highest == nil {
		s.highest = make(map[string]uint64)
	}
	s.highest[id] = max(s.highest[id], sequence)
}

// Distrust notes that a voter's disk was rolled back. No later record number
// is high enough: the voter goes on counting from the old copy and would
// otherwise reach the highest number seen with other records.
func (s *Sequences) Distrust(id string) { s.Observe(id, math.MaxUint64) }

// Highest returns the highest record number seen of a voter, or 0.
func (s *Sequences) Highest(id string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest[id]
}

// Adopt takes over a decided voter set if it is newer.
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

// Set returns the newest voter set known, with epoch 0 when there is none.
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

// observe raises the numbers of later ballots above b.
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

// Errors of one try that lead to another one.
var (
	errContended   = errors.New("another proposer was faster")
	errEpoch       = errors.New("the voter set has changed")
	errUnreachable = errors.New("no majority of voters answered")
)

func retryable(err error) bool {
	return errors.Is(err, errContended) || errors.Is(err, errEpoch) || errors.Is(err, errUnreachable)
}

// Update reads key's value on a quorum, applies f, and writes the result on a
// quorum, synced. It returns the value in force, which is that of a later
// update when one came in between. An empty value is the same as none. f may
// be called several times, but takes effect at most once. An error of f is
// returned as it is, and nothing is written then.
//
// With quorum-unreachable the update may still take effect later, except when
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
			return value, p.finish(o, err)
		}
		if p.pause(ctx, try, err) != nil {
			return nil, p.finish(o, unreachable(err))
		}
	}
}

func (*Proposer) finish(o *operation, err error) error {
	if code := dhcode.Of(err); !o.sent && code == dhcode.QuorumUnreachable {
		return dhcode.WithRan(err, dhcode.NotRun)
	}
	return err
}

func unreachable(err error) error {
	return dhcode.Wrap(dhcode.QuorumUnreachable, fmt.Errorf("register quorum: %w", err))
}

// pause waits before the next try: not after a new voter set, else a random
// part of a time that doubles.
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
		return old.value, p.settle(ctx, set, o.key, b, prepared)
	}
	value, refused := o.f(bytes.Clone(old.value))
	if refused == nil && len(value) > MaxValueBytes-1-8*maxOps {
		refused = dhcode.Errorf(dhcode.RequestTooLarge, "value has %d bytes", len(value))
	}
	if refused != nil || bytes.Equal(value, old.value) {
		// What f decided on must be in force before the caller learns of it.
		if err := p.settle(ctx, set, o.key, b, prepared); err != nil {
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

// settle makes sure that the value found is accepted by a quorum.
func (p *Proposer) settle(ctx context.Context, set VoterSet, key string, b ballot, found prepared) error {
	if found.decided {
		return nil
	}
	return p.accept(ctx, set, key, b, found.value)
}

// Read returns the value of key, or nil when it has none. It writes only when
// the voters that answer do not agree.
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

// Peek is Read without bringing voters that do not agree to agreement: it then
// fails with quorum-unreachable. VMs that read often use it, so that they do
// not compete with an update that is being written.
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
