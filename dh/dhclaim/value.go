package dhclaim

import (
	"bytes"
	"fmt"
	"net/url"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

const (
	valueFormat = 1
	keyPrefix   = "claim/"
)

// registerKey returns the register key of a claim. The account is escaped, so
// that different pairs of account and key never share a register.
func registerKey(account, key string) string {
	return keyPrefix + url.PathEscape(account) + "/" + key
}

// decode decodes a stored claim. A register without a value yields an empty claim.
func decode(key string, value []byte) (*dhpb.ClaimValue, error) {
	v := &dhpb.ClaimValue{}
	if err := proto.Unmarshal(value, v); err != nil {
		return nil, dhcode.Wrap(dhcode.Internal, fmt.Errorf("value of %q: %w", key, err))
	}
	if v.GetFormat() > valueFormat {
		return nil, dhcode.Errorf(dhcode.Internal, "value of %q has format %d, at most %d is known", key, v.GetFormat(), valueFormat)
	}
	return v, nil
}

func encode(v *dhpb.ClaimValue) ([]byte, error) {
	v.Format = valueFormat
	return proto.MarshalOptions{Deterministic: true}.Marshal(v)
}

// owned reports whether v was written by this claim's attempt.
func (c *Claim) owned(v *dhpb.ClaimValue) bool { return v.GetTake() == c.take }

// expire turns v into a tombstone.
func expire(v *dhpb.ClaimValue) {
	v.State = dhpb.ClaimState_CLAIM_STATE_EXPIRED
	v.RequestHash, v.RequestId, v.Owner, v.Take, v.ResultCode = nil, "", "", "", ""
	v.Answer, v.AnswerNotKept = nil, false
}

func statusOf(v *dhpb.ClaimValue) *Status {
	s := &Status{
		State: State(v.GetState()), RequestID: v.GetRequestId(), Owner: v.GetOwner(),
		Attempt: v.GetAttempt(), Answer: v.GetAnswer(),
	}
	if s.State == Done {
		s.Code = dhcode.Parse(v.GetResultCode())
	}
	if v.GetAnswerNotKept() {
		s.Code = dhcode.AnswerNotKept
	}
	return s
}

// outcomeFor returns the response to request r given the stored claim v: the
// status of a done request, or an error.
func outcomeFor(r Request, v *dhpb.ClaimValue) (*Status, error) {
	state := State(v.GetState())
	if state == Expired {
		return nil, errExpired(r.Key)
	}
	if state != None && !bytes.Equal(v.GetRequestHash(), r.Hash[:]) {
		return nil, dhcode.Errorf(dhcode.KeyReused, "the idempotency key was used for another request")
	}
	switch state {
	case Taken, Dispatching:
		return nil, dhcode.Errorf(dhcode.InProgress, "request %q is in state %s on %s", v.GetRequestId(), state, v.GetOwner())
	case Done:
		if v.GetAnswerNotKept() {
			return nil, dhcode.Errorf(dhcode.AnswerNotKept, "request %q is done; its answer was too large to keep", v.GetRequestId())
		}
		return statusOf(v), nil
	case Closed:
		return nil, dhcode.Errorf(dhcode.ClosedNotRun, "request %q has not run and never will", v.GetRequestId())
	}
	return nil, dhcode.Errorf(dhcode.OutcomeUnknown, "the outcome of request %q is unknown", v.GetRequestId())
}

func errExpired(string) error {
	return dhcode.Errorf(dhcode.KeyExpired, "the idempotency key is no longer kept")
}

// errOutcomeUnknown wraps a register error with code outcome-unknown: the request
// may have run in an earlier attempt, and this attempt may still take effect.
func errOutcomeUnknown(err error) error {
	// The "ran" attribute of the register's error describes only its own write,
	// so it must not be passed on as "not run" for the request.
	err = dhcode.WithRan(fmt.Errorf("claim could not be settled: %w", err), dhcode.RanUnknown)
	return dhcode.Wrap(dhcode.OutcomeUnknown, err)
}
