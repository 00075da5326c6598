// Package dhwire converts between errors that carry a result code and errors
// of the connect protocol, reads and writes keys in request headers, and ties the
// answers of other VMs to their calls.
//
// # Usage
//
// A handler converts the error that it returns:
//
//	return nil, dhwire.ToConnect(err)
//
// and a client converts the error that it received:
//
//	response, err := client.Ask(ctx, request)
//	if err != nil {
//		err = dhwire.FromConnect(err) // dhcode.Of, RanOf and RetryAfterOf give the server's values
//	}
//
// A connect error carries as metadata the name of the result code, whether the
// request ran and the retry-after hint. Connect sends metadata as headers of a
// unary answer and in the last message of a stream.
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

// Metadata keys of an error.
const (
	// HeaderCode holds the name of the result code, such as "queue-full".
	HeaderCode = "dh-code"
	// HeaderRan holds "not-run", "ran" or "unknown".
	HeaderRan = "dh-ran"
	// HeaderRetryAfter holds a duration such as "1.5s"; it is absent when there is no hint.
	HeaderRetryAfter = "dh-retry-after"
)

const bearerPrefix = "Bearer "

// SetKey stores a caller's, operator's or peer's key in a request's header.
func SetKey(header http.Header, key string) {
	header.Set("Authorization", bearerPrefix+key)
}

// KeyOf returns the key in a request's header, or "" when there is none.
func KeyOf(header http.Header) string {
	value := header.Get("Authorization")
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// ToConnect returns err as a *connect.Error, or nil when err is nil. The
// return type is error so that a nil result compares equal to nil.
func ToConnect(err error) error {
	if err == nil {
		return nil
	}
	var connectErr *connect.Error
	if errors.As(err, &connectErr) && dhcode.Of(err) == dhcode.Internal {
		err = FromConnect(connectErr)
	}
	code := dhcode.Of(err)
	connectErr = connect.NewError(ConnectCode(code), errors.New(err.Error()))
	meta := connectErr.Meta()
	meta.Set(HeaderCode, code.String())
	meta.Set(HeaderRan, dhcode.RanOf(err).String())
	if d := dhcode.RetryAfterOf(err); d > 0 {
		meta.Set(HeaderRetryAfter, d.String())
	}
	return connectErr
}

// FromConnect returns an error with the result code, the retry-after hint and
// the information whether the request ran, decoded from the metadata of err. An
// error without metadata comes from the connect library or the network: its
// result code is derived from the connect code. It is StreamBroken when the
// connection failed, with NotRun when no connection was established. FromConnect
// returns any error that is not a connect error unchanged, and nil for nil.
func FromConnect(err error) error {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return err
	}
	meta := connectErr.Meta()
	name := meta.Get(HeaderCode)
	if name == "" {
		return fromUncodedError(connectErr)
	}
	code, message := dhcode.Parse(name), connectErr.Message()
	if code.String() != name {
		// The server runs a newer release with a code that this one lacks.
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

// fromUncodedError derives a result code from the connect code of an error that
// no handler of dandelionhoist created.
func fromUncodedError(connectErr *connect.Error) error {
	code := dhcode.Internal
	switch {
	case connectErr.Code() == connect.CodeCanceled || errors.Is(connectErr, context.Canceled):
		code = dhcode.Cancelled
	case connectErr.Code() == connect.CodeDeadlineExceeded || errors.Is(connectErr, context.DeadlineExceeded):
		code = dhcode.DeadlineExceeded
	case connectErr.Code() == connect.CodeUnavailable || !connect.IsWireError(connectErr):
		code = dhcode.StreamBroken
	case connectErr.Code() == connect.CodeUnauthenticated || connectErr.Code() == connect.CodePermissionDenied:
		code = dhcode.NotAuthenticated
	case connectErr.Code() == connect.CodeInvalidArgument || connectErr.Code() == connect.CodeUnimplemented:
		code = dhcode.RequestMalformed
	case connectErr.Code() == connect.CodeResourceExhausted:
		code = dhcode.RequestTooLarge
	}
	coded := dhcode.Errorf(code, "%s", connectErr.Message())
	var dial *net.OpError
	if errors.As(connectErr, &dial) && dial.Op == "dial" {
		return dhcode.WithRan(coded, dhcode.NotRun)
	}
	return coded
}

// ConnectCode returns the connect code of a result code. Several result codes
// share a connect code; dandelionhoist's own clients read HeaderCode instead.
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
		dhcode.PoolFull, dhcode.RetryBudgetSpent, dhcode.TableFull, dhcode.PoolHeldOff, dhcode.PoolRateLimited,
		dhcode.PromptQuarantined, dhcode.RequestQuarantined, dhcode.PoolContended:
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
