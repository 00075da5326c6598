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

// maxSeen bounds the claims of other owners that are watched for a take-over.
const maxSeen = 4096

// Take makes this VM the owner of a new attempt of r. It returns a claim, or
// the status of a request that is done, or an error: in-progress, key-reused,
// key-expired, answer-not-kept, closed-not-run, outcome-unknown, table-full.
// Every claim is ended with Finish, Break or Close.
func (c *Claims) Take(ctx context.Context, r Request) (*Claim, *Status, error) {
	claim, v, err := c.settle(ctx, r, dhpb.ClaimState_CLAIM_STATE_TAKEN)
	if err != nil {
		return nil, nil, err
	}
	if claim != nil {
		return claim, nil, nil
	}
	status, err := judge(r, v)
	return nil, status, err
}

// Refuse closes the key of a request that this VM refuses without having taken
// it. Only when it returns nil may the caller be told "not run"; otherwise the
// error is the answer. A request that is already done returns its status.
func (c *Claims) Refuse(ctx context.Context, r Request) (*Status, error) {
	claim, v, err := c.settle(ctx, r, dhpb.ClaimState_CLAIM_STATE_CLOSED)
	if err != nil {
		return nil, err
	}
	if claim != nil {
		c.release(claim)
		return nil, nil
	}
	status, err := judge(r, v)
	if dhcode.Of(err) == dhcode.ClosedNotRun {
		return nil, nil
	}
	return status, err
}

// settle puts r in a state if its key is free or may be taken over. It returns
// a claim when that succeeded, else the value in force.
func (c *Claims) settle(ctx context.Context, r Request, to dhpb.ClaimState) (*Claim, *dhpb.ClaimValue, error) {
	if err := checkRequest(r.Account, r.Key); err != nil {
		return nil, nil, err
	}
	clock, err := c.readClock(ctx)
	if err != nil {
		return nil, nil, errUnknown(err)
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
	delete(c.seen, claim.key)
	c.mu.Unlock()
	return claim, v, nil
}

// write settles a claim and returns the value in force.
func (c *Claims) write(ctx context.Context, claim *Claim, clock int64, to dhpb.ClaimState) (*dhpb.ClaimValue, error) {
	value, err := c.Registers.Update(ctx, claim.key, func(old []byte) ([]byte, error) {
		v, err := decode(claim.key, old)
		if err != nil || !c.advance(claim, v, clock, to) {
			return old, err
		}
		return encode(v)
	})
	if err != nil {
		return nil, errUnknown(err)
	}
	// The clock is checked after the write: an absent claim may have been dropped.
	if clock, err = c.readClock(ctx); err != nil {
		return nil, errUnknown(err)
	}
	if issueExpired(claim.request.Key, clock, c.retention(), 0) {
		return nil, errExpired(claim.request.Key)
	}
	return decode(claim.key, value)
}

// advance changes v as a claim asks and reports whether it did.
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
		if !c.lost(v) && !c.overdue(claim.key, v.GetTake()) {
			return false
		}
	case Dispatching:
		if !c.lost(v) {
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

// lost reports whether nobody works on v any more: its owner has stopped, or
// is this VM, which has one active claim per key and is taking a new one.
func (c *Claims) lost(v *dhpb.ClaimValue) bool {
	if v.GetOwner() == c.Owner {
		return true
	}
	return c.OwnerGone != nil && c.OwnerGone(v.GetOwner())
}

// overdue reports whether a take was first seen long ago.
func (c *Claims) overdue(key, take string) bool {
	now := c.Timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.seen[key]
	if ok && s.take == take {
		return now.Sub(s.since) >= cmp.Or(c.TakeOverAfter, TakeOverAfter)
	}
	if !ok && len(c.seen) >= maxSeen {
		c.forgetSeen(now)
	}
	if ok || len(c.seen) < maxSeen {
		if c.seen == nil {
			c.seen = make(map[string]sighting)
		}
		c.seen[key] = sighting{take: take, since: now}
	}
	return false
}

// forgetSeen removes claims that nobody has asked for again.
func (c *Claims) forgetSeen(now time.Time) {
	for key, s := range c.seen {
		if now.Sub(s.since) > 10*cmp.Or(c.TakeOverAfter, TakeOverAfter) {
			delete(c.seen, key)
		}
	}
}

// begin returns a new claim, or nil when this VM has an active one for the key.
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
		return nil, errUnknown(err)
	}
	v, err := decode(key, value)
	if err == nil && value == nil {
		return nil, dhcode.Errorf(dhcode.InProgress, "request %q is being taken on this VM", r.ID)
	}
	return v, err
}
