package dhclaim

import (
	"context"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// Dispatch moves a claim to dispatching. Only when it returns nil may the
// request be sent, once. After an error the request must not be sent and the
// claim is ended with Close.
func (c *Claims) Dispatch(ctx context.Context, claim *Claim) error {
	claim.mu.Lock()
	used := claim.dispatched || claim.ended
	claim.mu.Unlock()
	if used {
		return dhcode.Errorf(dhcode.Internal, "claim of request %q was already dispatched or ended", claim.request.ID)
	}
	v, err := c.change(ctx, claim, func(v *dhpb.ClaimValue) bool {
		if State(v.GetState()) != Taken {
			return false
		}
		v.State = dhpb.ClaimState_CLAIM_STATE_DISPATCHING
		return true
	})
	if err != nil {
		return err
	}
	if !claim.owned(v) || State(v.GetState()) != Dispatching {
		return c.lostTo(claim, v)
	}
	claim.mu.Lock()
	defer claim.mu.Unlock()
	if claim.dispatched || claim.ended {
		return dhcode.Errorf(dhcode.Internal, "claim of request %q was dispatched or ended meanwhile", claim.request.ID)
	}
	claim.dispatched = true
	return nil
}

// Finish stores how a dispatched request ended, with its answer when there is
// one and it is small enough. It may be repeated after an error. The code
// outcome-unknown says that it is not known to be stored.
func (c *Claims) Finish(ctx context.Context, claim *Claim, code dhcode.Code, answer *dhpb.AskResponse) error {
	defer c.release(claim)
	if err := claim.end(true); err != nil {
		return err
	}
	v, err := c.change(ctx, claim, func(v *dhpb.ClaimValue) bool {
		// A broken claim is one whose owner was taken for stopped; the owner knows better.
		if s := State(v.GetState()); s != Dispatching && s != Broken {
			return false
		}
		v.State, v.ResultCode = dhpb.ClaimState_CLAIM_STATE_DONE, code.String()
		if proto.Size(answer) > c.maxAnswerBytes() {
			v.AnswerNotKept = true
		} else {
			v.Answer = answer
		}
		return true
	})
	if err == nil && (!claim.owned(v) || State(v.GetState()) != Done) {
		err = c.lostTo(claim, v)
	}
	return err
}

// Break records that the outcome of a dispatched request is unknown.
func (c *Claims) Break(ctx context.Context, claim *Claim) error {
	defer c.release(claim)
	if err := claim.end(true); err != nil {
		return err
	}
	v, err := c.change(ctx, claim, func(v *dhpb.ClaimValue) bool {
		if State(v.GetState()) != Dispatching {
			return false
		}
		v.State = dhpb.ClaimState_CLAIM_STATE_BROKEN
		return true
	})
	if err == nil && (!claim.owned(v) || State(v.GetState()) != Broken) {
		err = c.lostTo(claim, v)
	}
	return err
}

// Close records that a request has not run and never will: it was not sent, or
// a backend server has stated that it did not run. Only when Close returns nil
// may the caller be told "not run".
func (c *Claims) Close(ctx context.Context, claim *Claim) error {
	defer c.release(claim)
	if err := claim.end(false); err != nil {
		return err
	}
	v, err := c.change(ctx, claim, func(v *dhpb.ClaimValue) bool {
		if s := State(v.GetState()); s != Taken && s != Dispatching && s != Broken {
			return false
		}
		v.State = dhpb.ClaimState_CLAIM_STATE_CLOSED
		return true
	})
	if err == nil && State(v.GetState()) != Closed {
		err = c.lostTo(claim, v)
	}
	return err
}

// Outcome returns the status of a key. A request that a stopped owner was
// dispatching is broken. Code key-expired: the key is no longer kept.
func (c *Claims) Outcome(ctx context.Context, account, key string) (*Status, error) {
	if err := checkRequest(account, key); err != nil {
		return nil, err
	}
	register := registerKey(account, key)
	value, err := c.Registers.Read(ctx, register)
	if err != nil {
		return nil, errUnknown(err)
	}
	clock, err := c.readClock(ctx)
	if err != nil {
		return nil, errUnknown(err)
	}
	v, err := decode(register, value)
	if err != nil {
		return nil, err
	}
	if State(v.GetState()) == Expired || claimExpired(v, clock, c.retention()) || issueExpired(key, clock, c.retention(), 0) {
		return nil, errExpired(key)
	}
	status := statusOf(v)
	if status.State == Dispatching && c.OwnerGone != nil && c.OwnerGone(status.Owner) {
		status.State = Broken
	}
	return status, nil
}

// change applies f to the claim's value as long as the claim is the current
// attempt, and returns the value in force.
func (c *Claims) change(ctx context.Context, claim *Claim, f func(v *dhpb.ClaimValue) bool) (*dhpb.ClaimValue, error) {
	value, err := c.Registers.Update(ctx, claim.key, func(old []byte) ([]byte, error) {
		if old == nil {
			return nil, errExpired(claim.request.Key)
		}
		v, err := decode(claim.key, old)
		if err != nil || !claim.owned(v) || !f(v) {
			return old, err
		}
		return encode(v)
	})
	if dhcode.Of(err) == dhcode.KeyExpired {
		return nil, err
	}
	if err != nil {
		return nil, errUnknown(err)
	}
	return decode(claim.key, value)
}

// end marks a claim as ended, so that it cannot be dispatched any more.
func (c *Claim) end(needDispatched bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if needDispatched && !c.dispatched {
		return dhcode.Errorf(dhcode.Internal, "claim of request %q was not dispatched", c.request.ID)
	}
	return nil
}

// lostTo says what is in force instead of the claim's attempt.
func (c *Claims) lostTo(claim *Claim, v *dhpb.ClaimValue) error {
	if _, err := judge(claim.request, v); err != nil {
		return err
	}
	return dhcode.Errorf(dhcode.InProgress, "request %q was settled by attempt %d on %s", claim.request.ID, v.GetAttempt(), v.GetOwner())
}
