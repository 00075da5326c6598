package dhclaim

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// The retention clock is a register with a time in seconds. A VM that has seen
// one value for a while may add at most that elapsed time to it, so the clock
// runs no faster than the fastest VM's clock rate, whatever the VMs' wall
// clocks say. Wall clocks are used once, for the first value.
//
// A key without a time of issue is never forgotten: after the retention its
// claim becomes a tombstone. A key with a time of issue is refused once the
// clock is Retention past that time, and its claim may be dropped once the
// clock is dropMargin further. The clock needs two steps to cross that margin,
// and the second one starts from a value that was seen after the first, so at
// least dropMargin-maxStep of real time (less the rate error) lies between.
// A VM uses a reading for clockFresh at most, and checks it after Take has
// written. So whoever finds a dropped claim absent also finds its key expired.
const (
	// ClockKey is the register of the retention clock.
	ClockKey     = "claim-clock"
	clockFresh   = time.Minute
	clockAdvance = 5 * time.Minute
	maxStep      = 30 * time.Minute
	dropMargin   = time.Hour
)

// rateAllowance lengthens the retention, so that it lasts 24 h when the clock
// runs 1% fast and the claim's reading was one step old.
func rateAllowance(retention time.Duration) time.Duration {
	return retention + retention/50 + maxStep
}

// clockCache is a reading of the retention clock. Times are this VM's own.
type clockCache struct {
	known bool
	now   int64
	// asked is when the question for the newest reading was sent; since is when
	// the value was first seen.
	asked, since time.Time
}

// readClock returns a reading that is at most clockFresh old.
func (c *Claims) readClock(ctx context.Context) (int64, error) {
	c.mu.Lock()
	cached := c.clock
	c.mu.Unlock()
	if cached.known && c.Timers.Now().Sub(cached.asked) < clockFresh {
		return cached.now, nil
	}
	return c.refreshClock(ctx)
}

func (c *Claims) refreshClock(ctx context.Context) (int64, error) {
	asked := c.Timers.Now()
	value, err := c.Registers.Read(ctx, ClockKey)
	if err == nil && value == nil {
		value, err = c.Registers.Update(ctx, ClockKey, setClock(nil, asked.Unix()))
	}
	if err != nil {
		return 0, err
	}
	return c.noteClock(asked, value)
}

// Maintain refreshes the retention clock and advances it when it is due. It is
// called on a tick that is shorter than a minute.
func (c *Claims) Maintain(ctx context.Context) error {
	if _, err := c.refreshClock(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	cached := c.clock
	c.mu.Unlock()
	asked := c.Timers.Now()
	elapsed := min(asked.Sub(cached.since), maxStep)
	// VMs wait for different times, so that one of them advances the clock and
	// the others see it.
	spread := time.Duration(xxhash.Sum64String(c.Owner) % uint64(clockAdvance))
	if elapsed < clockAdvance+spread {
		return nil
	}
	next := cached.now + int64(elapsed/time.Second)
	value, err := c.Registers.Update(ctx, ClockKey, setClock(&cached.now, next))
	if err != nil {
		return err
	}
	_, err = c.noteClock(asked, value)
	return err
}

// setClock changes the clock from one reading to another. A clock with another
// reading stays as it is.
func setClock(from *int64, to int64) func(old []byte) ([]byte, error) {
	return func(old []byte) ([]byte, error) {
		m := &dhpb.RetentionClock{}
		if err := proto.Unmarshal(old, m); err != nil {
			return nil, err
		}
		if (from == nil) != (old == nil) || from != nil && m.GetNow() != *from {
			return old, nil
		}
		m.Format, m.Now = valueFormat, to
		return proto.Marshal(m)
	}
}

func (c *Claims) noteClock(asked time.Time, value []byte) (int64, error) {
	now, err := decodeClock(value)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.clock.known || now > c.clock.now:
		c.clock = clockCache{known: true, now: now, asked: asked, since: c.Timers.Now()}
	case now == c.clock.now && asked.After(c.clock.asked):
		c.clock.asked = asked
	}
	return c.clock.now, nil
}

func decodeClock(value []byte) (int64, error) {
	m := &dhpb.RetentionClock{}
	if err := proto.Unmarshal(value, m); err != nil {
		return 0, dhcode.Wrap(dhcode.Internal, fmt.Errorf("value of %q: %w", ClockKey, err))
	}
	return m.GetNow(), nil
}

// issued returns the time of issue that a key carries, in Unix seconds.
func issued(key string) (int64, bool) {
	const digits = 10
	if len(key) < digits+2 || key[0] != 't' || key[digits+1] != '-' {
		return 0, false
	}
	seconds, err := strconv.ParseUint(key[1:digits+1], 10, 63)
	return int64(seconds), err == nil
}

// issueExpired reports whether a key carries a time of issue that is at least
// the retention and a margin ago.
func issueExpired(key string, clock int64, retention, margin time.Duration) bool {
	at, ok := issued(key)
	return ok && at < clock-int64((retention+margin)/time.Second)
}

// claimExpired reports whether a claim is older than the retention.
func claimExpired(v *dhpb.ClaimValue, clock int64, retention time.Duration) bool {
	return v.GetState() != dhpb.ClaimState_CLAIM_STATE_NONE &&
		v.GetTakenAt() < clock-int64(rateAllowance(retention)/time.Second)
}

// Compact says what a voter keeps of a register when it rewrites its journal,
// given its value of register "claim-clock". An expired claim shrinks to a
// tombstone, which every reader treats like the claim itself; a claim whose
// key carries a time of issue is dropped when that time is long enough ago.
// Voters need not agree on when they do it. Registers that are not claims, and
// values that cannot be read, are kept as they are.
func Compact(key string, value, clock []byte, retention time.Duration) (kept []byte, keep bool) {
	rest, isClaim := strings.CutPrefix(key, keyPrefix)
	if !isClaim || clock == nil {
		return value, true
	}
	now, err := decodeClock(clock)
	if err != nil {
		return value, true
	}
	retention = cmp.Or(retention, Retention)
	_, idempotencyKey, _ := strings.Cut(rest, "/")
	if issueExpired(idempotencyKey, now, retention, dropMargin) {
		return nil, false
	}
	v, err := decode(key, value)
	if err != nil || !claimExpired(v, now, retention) {
		return value, true
	}
	expire(v)
	if kept, err = encode(v); err != nil {
		return value, true
	}
	return kept, true
}
