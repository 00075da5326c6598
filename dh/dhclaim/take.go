package dhclaim

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"strconv"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// maxObserved is the maximum number of other owners' claims that are tracked for
// a take-over.
const maxObserved = 4096

// Take makes this VM the owner of a new attempt of r. It returns a claim, the
// status of a request that is already done, or an error with one of the codes
// in-progress, key-reused, key-expired, answer-not-kept, closed-not-run,
// outcome-unknown and table-full. Every claim must be ended with Finish, Break
// or Close.
func (c *Claims) Take(ctx context.Context, r Request) (*Claim, *Status, error) {
	claim, v, err := c.acquire(ctx, r, dhpb.ClaimState_CLAIM_STATE_TAKEN)
	if err != nil {
		return nil, nil, err
	}
	if claim != nil {
		return claim, nil, nil
	}
	status, err := outcomeFor(r, v)
	return nil, status, err
}

// Refuse closes the key of a request that this VM refuses without having taken
// a claim. The caller may be told "not run" only if both results are nil.
// Otherwise the caller gets the error, or the status of a request that is
// already done.
func (c *Claims) Refuse(ctx context.Context, r Request) (*Status, error) {
	claim, v, err := c.acquire(ctx, r, dhpb.ClaimState_CLAIM_STATE_CLOSED)
	if err != nil {
		return nil, err
	}
	if claim != nil {
		c.release(claim)
		return nil, nil
	}
	status, err := outcomeFor(r, v)
	if dhcode.Of(err) == dhcode.ClosedNotRun {
		return nil, nil
	}
	return status, err
}

// acquire writes a claim for r in state to if the key is unused or may be taken
// over. It returns the claim if that succeeded, or else the committed value.
func (c *Claims) acquire(ctx context.Context, r Request, to dhpb.ClaimState) (*Claim, *dhpb.ClaimValue, error) {
	if err := checkRequest(r.Account, r.Key); err != nil {
		return nil, nil, err
	}
	clock, err := c.readClock(ctx)
	if err != nil {
		return nil, nil, errOutcomeUnknown(err)
	}
	if issueExpired(r.Key, clock, c.retention(), 0) {
		return nil, nil, errExpired(r.Key)
	}
	claim, err := c.begin(r)
	if err != nil {
		return nil, nil, err
	}
	if claim == nil {
		v, err := c.read(ctx, r)
		return nil, v, err
	}
	v, err := c.write(ctx, claim, clock, to)
	if err != nil || v.GetTake() != claim.take || v.GetState() != to {
		c.release(claim)
		return nil, v, err
	}
	claim.attempt = v.GetAttempt()
	c.mu.Lock()
	delete(c.observed, claim.key)
	c.mu.Unlock()
	return claim, v, nil
}

// write writes a new claim in state to, if that is allowed, and returns the
// committed value.
func (c *Claims) write(ctx context.Context, claim *Claim, clock int64, to dhpb.ClaimState) (*dhpb.ClaimValue, error) {
	value, err := c.Registers.Update(ctx, claim.key, func(old []byte) ([]byte, error) {
		v, err := decode(claim.key, old)
		if err != nil || !c.advance(claim, v, clock, to) {
			return old, err
		}
		return encode(v)
	})
	if err != nil {
		return nil, errOutcomeUnknown(err)
	}
	// Check for expiry again after the write: a claim that was absent may have
	// been deleted after it expired.
	if clock, err = c.readClock(ctx); err != nil {
		return nil, errOutcomeUnknown(err)
	}
	if issueExpired(claim.request.Key, clock, c.retention(), 0) {
		return nil, errExpired(claim.request.Key)
	}
	return decode(claim.key, value)
}

// advance applies a new claim to the stored value v and reports whether v
// changed. It marks an expired claim as expired, and a dispatching claim whose
// owner has stopped as broken, instead of taking it over.
func (c *Claims) advance(claim *Claim, v *dhpb.ClaimValue, clock int64, to dhpb.ClaimState) bool {
	if claim.owned(v) || State(v.GetState()) == Expired {
		return false
	}
	if claimExpired(v, clock, c.retention()) {
		expire(v)
		return true
	}
	r := claim.request
	if State(v.GetState()) != None && !bytes.Equal(v.GetRequestHash(), r.Hash[:]) {
		return false
	}
	switch State(v.GetState()) {
	case None:
		v.TakenAt, v.RequestHash = clock, r.Hash[:]
	case Taken:
		if !c.abandoned(v) && !c.takeOverDue(claim.key, v.GetTake()) {
			return false
		}
	case Dispatching:
		if !c.abandoned(v) {
			return false
		}
		v.State = dhpb.ClaimState_CLAIM_STATE_BROKEN
		return true
	default:
		return false
	}
	v.State, v.Owner, v.Take, v.RequestId = to, c.Owner, claim.take, r.ID
	v.Attempt++
	return true
}

// abandoned reports whether the owner of v no longer works on it: the owner has
// stopped, or it is this VM, which has at most one active claim per key and is
// now taking a new one.
func (c *Claims) abandoned(v *dhpb.ClaimValue) bool {
	if v.GetOwner() == c.Owner {
		return true
	}
	return c.OwnerStopped != nil && c.OwnerStopped(v.GetOwner())
}

// takeOverDue reports whether this VM has observed the same take of a key for at
// least TakeOverAfter. The first call for a take starts that period.
func (c *Claims) takeOverDue(key, take string) bool {
	now := c.Timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.observed[key]
	if ok && s.take == take {
		return now.Sub(s.firstSeen) >= cmp.Or(c.TakeOverAfter, TakeOverAfter)
	}
	if !ok && len(c.observed) >= maxObserved {
		c.pruneObserved(now)
	}
	if ok || len(c.observed) < maxObserved {
		if c.observed == nil {
			c.observed = make(map[string]observedTake)
		}
		c.observed[key] = observedTake{take: take, firstSeen: now}
	}
	return false
}

// pruneObserved removes observed claims that are older than 10 times
// TakeOverAfter; their requests were not sent again to this VM.
func (c *Claims) pruneObserved(now time.Time) {
	for key, s := range c.observed {
		if now.Sub(s.firstSeen) > 10*cmp.Or(c.TakeOverAfter, TakeOverAfter) {
			delete(c.observed, key)
		}
	}
}

// begin registers and returns a new claim, or nil when this VM already has an
// active claim for the key.
func (c *Claims) begin(r Request) (*Claim, error) {
	key := registerKey(r.Account, r.Key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.active[key]; ok {
		return nil, nil
	}
	if len(c.active) >= c.maxActive() {
		return nil, dhcode.WithRan(dhcode.Errorf(dhcode.TableFull, "%d claims are active, at most %d are kept", len(c.active), c.maxActive()), dhcode.RanUnknown)
	}
	if c.active == nil {
		c.active = make(map[string]string)
	}
	if c.nonce == "" {
		c.nonce = rand.Text()
	}
	c.takes++
	claim := &Claim{request: r, key: key, take: c.nonce + strconv.FormatUint(c.takes, 36)}
	c.active[key] = claim.take
	return claim, nil
}

func (c *Claims) release(claim *Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[claim.key] == claim.take {
		delete(c.active, claim.key)
	}
}

func (c *Claims) read(ctx context.Context, r Request) (*dhpb.ClaimValue, error) {
	key := registerKey(r.Account, r.Key)
	value, err := c.Registers.Read(ctx, key)
	if err != nil {
		return nil, errOutcomeUnknown(err)
	}
	v, err := decode(key, value)
	if err == nil && value == nil {
		return nil, dhcode.Errorf(dhcode.InProgress, "request %q is being taken on this VM", r.ID)
	}
	return v, err
}
