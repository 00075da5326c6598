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

// The retention clock is a register that holds a time in Unix seconds. A VM may
// advance it by at most the time that has elapsed on its own clock since it
// first read the current value. The retention clock therefore runs no faster
// than the fastest VM clock, even if wall clocks are wrong or are set. A wall
// clock is read only once, for the initial value.
//
// The claim of a key without an issue time is never deleted: after the
// retention it becomes a tombstone. A key with an issue time is refused once
// the retention clock is Retention past that time, and its claim may be deleted
// once the clock is dropMargin further. Crossing that margin takes two advances
// of the clock, and the second starts from a value that was read after the
// first. At least dropMargin-maxClockStep of real time (less the clock rate
// error) therefore passes between refusal and deletion. A VM uses a reading for
// at most maxClockAge and checks the key again after Take has written. A VM that
// finds no claim because it was deleted therefore also finds the key expired.
const (
	// ClockKey is the register key of the retention clock.
	ClockKey           = "claim-clock"
	maxClockAge        = time.Minute
	clockAdvancePeriod = 5 * time.Minute
	maxClockStep       = 30 * time.Minute
	dropMargin         = time.Hour
)

// retentionWithMargin extends the retention by 2% and one clock step, so that a
// claim is kept for the full 24 h even if the retention clock runs 1% fast and
// the reading stored in the claim was one step old.
func retentionWithMargin(retention time.Duration) time.Duration {
	return retention + retention/50 + maxClockStep
}

// clockCache is the last reading of the retention clock. Its times are those of
// the local clock.
type clockCache struct {
	known bool
	now   int64
	// requestedAt is when the request for the latest reading was sent, and
	// firstSeen is when the current value was first read.
	requestedAt, firstSeen time.Time
}

// readClock returns a reading that is at most maxClockAge old.
func (c *Claims) readClock(ctx context.Context) (int64, error) {
	c.mu.Lock()
	cached := c.clock
	c.mu.Unlock()
	if cached.known && c.Timers.Now().Sub(cached.requestedAt) < maxClockAge {
		return cached.now, nil
	}
	return c.refreshClock(ctx)
}

func (c *Claims) refreshClock(ctx context.Context) (int64, error) {
	requestedAt := c.Timers.Now()
	value, err := c.Registers.Read(ctx, ClockKey)
	if err == nil && value == nil {
		value, err = c.Registers.Update(ctx, ClockKey, setClock(nil, requestedAt.Unix()))
	}
	if err != nil {
		return 0, err
	}
	return c.recordClock(requestedAt, value)
}

// Maintain reads the retention clock and advances it when an advance is due. It
// must be called more often than once a minute.
func (c *Claims) Maintain(ctx context.Context) error {
	if _, err := c.refreshClock(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	cached := c.clock
	c.mu.Unlock()
	requestedAt := c.Timers.Now()
	elapsed := min(requestedAt.Sub(cached.firstSeen), maxClockStep)
	// Each VM waits for a different time, so that usually one VM advances the
	// clock and the others read the new value.
	jitter := time.Duration(xxhash.Sum64String(c.Owner) % uint64(clockAdvancePeriod))
	if elapsed < clockAdvancePeriod+jitter {
		return nil
	}
	next := cached.now + int64(elapsed/time.Second)
	value, err := c.Registers.Update(ctx, ClockKey, setClock(&cached.now, next))
	if err != nil {
		return err
	}
	_, err = c.recordClock(requestedAt, value)
	return err
}

// setClock returns an update that sets the clock to a new value only if its
// current value is from, or if it has no value and from is nil.
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

func (c *Claims) recordClock(requestedAt time.Time, value []byte) (int64, error) {
	now, err := decodeClock(value)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.clock.known || now > c.clock.now:
		c.clock = clockCache{known: true, now: now, requestedAt: requestedAt, firstSeen: c.Timers.Now()}
	case now == c.clock.now && requestedAt.After(c.clock.requestedAt):
		c.clock.requestedAt = requestedAt
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

// issueTime returns the issue time encoded in a key, in Unix seconds.
func issueTime(key string) (int64, bool) {
	const digits = 10
	if len(key) < digits+2 || key[0] != 't' || key[digits+1] != '-' {
		return 0, false
	}
	seconds, err := strconv.ParseUint(key[1:digits+1], 10, 63)
	return int64(seconds), err == nil
}

// issueExpired reports whether a key carries an issue time that is more than
// retention plus margin before the clock.
func issueExpired(key string, clock int64, retention, margin time.Duration) bool {
	at, ok := issueTime(key)
	return ok && at < clock-int64((retention+margin)/time.Second)
}

// claimExpired reports whether a claim is older than the retention.
func claimExpired(v *dhpb.ClaimValue, clock int64, retention time.Duration) bool {
	return v.GetState() != dhpb.ClaimState_CLAIM_STATE_NONE &&
		v.GetTakenAt() < clock-int64(retentionWithMargin(retention)/time.Second)
}

// Compact returns the value of a register that a voter keeps when it rewrites
// its journal, and whether it keeps the register at all; clock is the voter's
// value of register "claim-clock". An expired claim is reduced to a tombstone,
// which readers treat like the expired claim. A claim whose key carries an issue
// time is deleted once that time is more than the retention plus dropMargin ago.
// Voters may do this at different times. Registers that are not claims, and
// values that cannot be decoded, are kept unchanged.
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
