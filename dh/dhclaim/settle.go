package dhclaim

import (
	"context"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// Dispatch moves a claim to state dispatching. The request may be sent only
// after Dispatch has returned nil, and only once. After an error the request
// must not be sent, and the claim must be ended with Close.
func (c *Claims) Dispatch(ctx context.Context, claim *Claim) error {
	claim.mu.Lock()
	used := claim.dispatched || claim.ended
	claim.mu.Unlock()
	if used {
		return dhcode.Errorf(dhcode.Internal, "claim of request %q was already dispatched or ended", claim.request.ID)
	}
	v, err := c.updateClaim(ctx, claim, func(v *dhpb.ClaimValue) bool {
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
		return c.supersededError(claim, v)
	}
	claim.mu.Lock()
	defer claim.mu.Unlock()
	if claim.dispatched || claim.ended {
		return dhcode.Errorf(dhcode.Internal, "claim of request %q was dispatched or ended meanwhile", claim.request.ID)
	}
	claim.dispatched = true
	return nil
}

// Finish stores the result code of a dispatched request, and its answer unless
// that is larger than MaxAnswerBytes. It may be called again after an error.
// Code outcome-unknown means that the result may or may not have been stored.
func (c *Claims) Finish(ctx context.Context, claim *Claim, code dhcode.Code, answer *dhpb.AskResponse) error {
	defer c.release(claim)
	if err := claim.end(true); err != nil {
		return err
	}
	v, err := c.updateClaim(ctx, claim, func(v *dhpb.ClaimValue) bool {
		// Another VM marks a claim as broken when it considers the owner stopped.
		// If the owner is still running, its result takes precedence.
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
		err = c.supersededError(claim, v)
	}
	return err
}

// Break moves a dispatched claim to state broken: the outcome of the request is
// unknown.
func (c *Claims) Break(ctx context.Context, claim *Claim) error {
	defer c.release(claim)
	if err := claim.end(true); err != nil {
		return err
	}
	v, err := c.updateClaim(ctx, claim, func(v *dhpb.ClaimValue) bool {
		if State(v.GetState()) != Dispatching {
			return false
		}
		v.State = dhpb.ClaimState_CLAIM_STATE_BROKEN
		return true
	})
	if err == nil && (!claim.owned(v) || State(v.GetState()) != Broken) {
		err = c.supersededError(claim, v)
	}
	return err
}

// Close records that a request has not run and never will, because it was not
// sent or because a backend server reported that it did not run. The caller may
// be told "not run" only after Close has returned nil.
func (c *Claims) Close(ctx context.Context, claim *Claim) error {
	defer c.release(claim)
	if err := claim.end(false); err != nil {
		return err
	}
	v, err := c.updateClaim(ctx, claim, func(v *dhpb.ClaimValue) bool {
		if s := State(v.GetState()); s != Taken && s != Dispatching && s != Broken {
			return false
		}
		v.State = dhpb.ClaimState_CLAIM_STATE_CLOSED
		return true
	})
	if err == nil && State(v.GetState()) != Closed {
		err = c.supersededError(claim, v)
	}
	return err
}

// Outcome returns the status of a key. A claim in state dispatching whose owner
// has stopped is reported as broken. Code key-expired means that the key is no
// longer kept.
func (c *Claims) Outcome(ctx context.Context, account, key string) (*Status, error) {
	if err := checkRequest(account, key); err != nil {
		return nil, err
	}
	register := registerKey(account, key)
	value, err := c.Registers.Read(ctx, register)
	if err != nil {
		return nil, errOutcomeUnknown(err)
	}
	clock, err := c.readClock(ctx)
	if err != nil {
		return nil, errOutcomeUnknown(err)
	}
	v, err := decode(register, value)
	if err != nil {
		return nil, err
	}
	if State(v.GetState()) == Expired || claimExpired(v, clock, c.retention()) || issueExpired(key, clock, c.retention(), 0) {
		return nil, errExpired(key)
	}
	status := statusOf(v)
	if status.State == Dispatching && c.OwnerStopped != nil && c.OwnerStopped(status.Owner) {
		status.State = Broken
	}
	return status, nil
}

// updateClaim applies f to the stored value if the claim is still the current
// attempt, and returns the committed value. The value is left unchanged when f
// returns false.
func (c *Claims) updateClaim(ctx context.Context, claim *Claim, f func(v *dhpb.ClaimValue) bool) (*dhpb.ClaimValue, error) {
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
		return nil, errOutcomeUnknown(err)
	}
	return decode(claim.key, value)
}

// end marks a claim as ended, after which it can no longer be dispatched. With
// needDispatched it returns an error if the claim was never dispatched.
func (c *Claim) end(needDispatched bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if needDispatched && !c.dispatched {
		return dhcode.Errorf(dhcode.Internal, "claim of request %q was not dispatched", c.request.ID)
	}
	return nil
}

// supersededError returns the error that describes the committed value v, which
// is not the one that the claim tried to write.
func (c *Claims) supersededError(claim *Claim, v *dhpb.ClaimValue) error {
	if _, err := outcomeFor(claim.request, v); err != nil {
		return err
	}
	return dhcode.Errorf(dhcode.InProgress, "request %q was settled by attempt %d on %s", claim.request.ID, v.GetAttempt(), v.GetOwner())
}
