// Package dhwire converts between errors that carry a result code and errors
// of the connect protocol, and reads and writes keys in request headers.
//
// # Usage
//
// A handler converts what it returns:
//
//	return nil, dhwire.ToConnect(err)
//
// and a client converts what it got:
//
//	response, err := client.Ask(ctx, request)
//	if err != nil {
//		err = dhwire.FromConnect(err) // dhcode.Of, RanOf and RetryAfterOf give the server's values
//	}
//
// A connect error carries the result code's name, the statement whether the
// request ran and the retry-after hint as metadata. Connect sends metadata as
// headers of a unary answer and in the last message of a stream.
package dhwire

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhcode"
)

// The metadata of an error.
const (
	// HeaderCode holds the name of the result code, such as "queue-full".
	HeaderCode = "dh-code"
	// HeaderRan holds "not-run", "ran" or "unknown".
	HeaderRan = "dh-ran"
	// HeaderRetryAfter holds a duration such as "1.5s"; it is absent when there is no hint.
	HeaderRetryAfter = "dh-retry-after"
)

const bearer = "Bearer "

// SetKey stores a caller's, operator's or peer's key in a request's header.
func SetKey(header http.Header, key string) {
	header.Set("Authorization", bearer+key)
}

// KeyOf returns the key in a request's header, or "" when there is none.
func KeyOf(header http.Header) string {
	value := header.Get("Authorization")
	if len(value) < len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(value[len(bearer):])
}

// ToConnect returns err as a *connect.Error, or nil when err is nil. The
// return type is error so that a nil result compares equal to nil.
func ToConnect(err error) error {
	if err == nil {
		return nil
	}
	var wire *connect.Error
	if errors.As(err, &wire) && dhcode.Of(err) == dhcode.Internal {
		err = FromConnect(wire)
	}
	code := dhcode.Of(err)
	wire = connect.NewError(ConnectCode(code), errors.New(err.Error()))
	meta := wire.Meta()
	meta.Set(HeaderCode, code.String())
	meta.Set(HeaderRan, dhcode.RanOf(err).String())
	if d := dhcode.RetryAfterOf(err); d > 0 {
		meta.Set(HeaderRetryAfter, d.String())
	}
	return wire
}

// FromConnect returns err with the result code, the statement whether the
// request ran and the retry-after hint that its metadata states. An error
// without metadata was made by the connect library or by the network: its code
// follows from the connect code. It is StreamBroken when the connection failed,
// with NotRun when no connection was made. A nil err gives nil.
func FromConnect(err error) error {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return err
	}
	meta := wire.Meta()
	name := meta.Get(HeaderCode)
	if name == "" {
		return withoutMetadata(wire)
	}
	code, message := dhcode.Parse(name), wire.Message()
	if code.String() != name {
		// The server is of a newer release.
		message = "unknown result code " + name + ": " + message
	}
	coded := dhcode.Errorf(code, "%s", message)
	if ran, ok := parseRan(meta.Get(HeaderRan)); ok {
		coded = dhcode.WithRan(coded, ran)
	}
	if d, err := time.ParseDuration(meta.Get(HeaderRetryAfter)); err == nil && d > 0 {
		coded = dhcode.WithRetryAfter(coded, d)
	}
	return coded
}

func parseRan(name string) (dhcode.Ran, bool) {
	for r := dhcode.RanUnknown; r <= dhcode.DidRun; r++ {
		if r.String() == name {
			return r, true
		}
	}
	return dhcode.RanUnknown, false
}

// withoutMetadata gives a code to an error that no handler of dandelionhoist made.
func withoutMetadata(wire *connect.Error) error {
	code := dhcode.Internal
	switch {
	case wire.Code() == connect.CodeCanceled || errors.Is(wire, context.Canceled):
		code = dhcode.Cancelled
	case wire.Code() == connect.CodeDeadlineExceeded || errors.Is(wire, context.DeadlineExceeded):
		code = dhcode.DeadlineExceeded
	case wire.Code() == connect.CodeUnavailable || !connect.IsWireError(wire):
		code = dhcode.StreamBroken
	case wire.Code() == connect.CodeUnauthenticated || wire.Code() == connect.CodePermissionDenied:
		code = dhcode.NotAuthenticated
	case wire.Code() == connect.CodeInvalidArgument || wire.Code() == connect.CodeUnimplemented:
		code = dhcode.RequestMalformed
	case wire.Code() == connect.CodeResourceExhausted:
		code = dhcode.RequestTooLarge
	}
	coded := dhcode.Errorf(code, "%s", wire.Message())
	var dial *net.OpError
	if errors.As(wire, &dial) && dial.Op == "dial" {
		return dhcode.WithRan(coded, dhcode.NotRun)
	}
	return coded
}

// ConnectCode returns the connect code of a result code. Several result codes
// share a connect code; clients that know dandelionhoist read HeaderCode.
func ConnectCode(c dhcode.Code) connect.Code {
	switch c {
	case dhcode.UnknownKey, dhcode.NotAuthenticated:
		return connect.CodeUnauthenticated
	case dhcode.RouteNotAllowed, dhcode.VersionNotAllowed:
		return connect.CodePermissionDenied
	case dhcode.RequestMalformed, dhcode.RequestTooLarge, dhcode.SessionTokenInvalid,
		dhcode.IdempotencyKeyNeeded, dhcode.TablesInvalid, dhcode.SettingsInvalid:
		return connect.CodeInvalidArgument
	case dhcode.DeadlinePast, dhcode.DeadlineExceeded:
		return connect.CodeDeadlineExceeded
	case dhcode.Cancelled:
		return connect.CodeCanceled
	case dhcode.RateLimited, dhcode.ConcurrencyLimited, dhcode.QueueFull, dhcode.WaitTooLong,
		dhcode.PoolFull, dhcode.RetryBudgetSpent, dhcode.TableFull, dhcode.PoolHeldOff:
		return connect.CodeResourceExhausted
	case dhcode.NoTables, dhcode.Leaving, dhcode.NoBackend, dhcode.BackendFailed, dhcode.StreamBroken,
		dhcode.QuorumUnreachable, dhcode.TablesLeaseLapsed, dhcode.LeaseHeldElsewhere, dhcode.BillNotSafe:
		return connect.CodeUnavailable
	case dhcode.KeyReused, dhcode.EditIDReused:
		return connect.CodeAlreadyExists
	case dhcode.EditConflict, dhcode.InProgress, dhcode.VoterEpochOld, dhcode.FencingTokenOld:
		return connect.CodeAborted
	case dhcode.KeyExpired, dhcode.ClosedNotRun, dhcode.BaseRevisionUnknown, dhcode.SessionMoved:
		return connect.CodeFailedPrecondition
	case dhcode.AnswerNotKept, dhcode.EditUnknown, dhcode.RouteUnknown:
		return connect.CodeNotFound
	case dhcode.DiskCorrupt, dhcode.VoterRolledBack:
		return connect.CodeDataLoss
	case dhcode.OutcomeUnknown:
		return connect.CodeUnknown
	case dhcode.OK, dhcode.Internal, dhcode.DiskFailed:
		return connect.CodeInternal
	}
	return connect.CodeInternal
}
