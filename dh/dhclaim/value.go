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

// registerKey escapes the account, so that no two pairs share a register.
func registerKey(account, key string) string {
	return keyPrefix + url.PathEscape(account) + "/" + key
}

// decode returns an empty value for a register without one.
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

// owned reports whether v belongs to a claim's attempt.
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

// judge returns what a caller with request r gets to hear about v: a status
// with the stored outcome, or an error.
func judge(r Request, v *dhpb.ClaimValue) (*Status, error) {
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

// errUnknown replaces the error of a register: the request may have run in an
// earlier attempt, and this attempt may still take effect.
func errUnknown(err error) error {
	// The register's error may say "not run" of its own write.
	err = dhcode.WithRan(fmt.Errorf("claim could not be settled: %w", err), dhcode.RanUnknown)
	return dhcode.Wrap(dhcode.OutcomeUnknown, err)
}
