// Package dhcode defines the numbered result codes of dandelionhoist and the
// errors that carry them.
//
// # Usage
//
// Return a coded error where a request is refused or fails:
//
//	return dhcode.Errorf(dhcode.PoolFull, "pool %q has no free slot", pool)
//
// and read the code where the answer is written:
//
//	code := dhcode.Of(err)
//
// docs/RESULT-CODES.md lists every code; a test compares that page with this
// package.
package dhcode

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

//go:generate ../../bin/stringer -type=Code -linecomment
//go:generate ../../bin/stringer -type=Ran -linecomment
//go:generate ../../bin/stringer -type=Class -linecomment

// Code is a numbered result code. Numbers are never reused.
type Code int

// The result codes.
const (
	OK                   Code = iota // ok
	Internal                         // internal
	UnknownKey                       // unknown-key
	RouteNotAllowed                  // route-not-allowed
	RequestMalformed                 // request-malformed
	RequestTooLarge                  // request-too-large
	DeadlinePast                     // deadline-past
	VersionNotAllowed                // version-not-allowed
	NoTables                         // no-tables
	Leaving                          // leaving
	RateLimited                      // rate-limited
	ConcurrencyLimited               // concurrency-limited
	QueueFull                        // queue-full
	WaitTooLong                      // wait-too-long
	NoBackend                        // no-backend
	PoolFull                         // pool-full
	RetryBudgetSpent                 // retry-budget-spent
	BackendFailed                    // backend-failed
	StreamBroken                     // stream-broken
	DeadlineExceeded                 // deadline-exceeded
	Cancelled                        // cancelled
	SessionTokenInvalid              // session-token-invalid
	SessionMoved                     // session-moved
	IdempotencyKeyNeeded             // idempotency-key-needed
	KeyReused                        // key-reused
	KeyExpired                       // key-expired
	InProgress                       // in-progress
	OutcomeUnknown                   // outcome-unknown
	ClosedNotRun                     // closed-not-run
	AnswerNotKept                    // answer-not-kept
	QuorumUnreachable                // quorum-unreachable
	TablesLeaseLapsed                // tables-lease-lapsed
	TablesInvalid                    // tables-invalid
	EditConflict                     // edit-conflict
	EditIDReused                     // edit-id-reused
	BaseRevisionUnknown              // base-revision-unknown
	EditUnknown                      // edit-unknown
	DiskFailed                       // disk-failed
	DiskCorrupt                      // disk-corrupt
	VoterRolledBack                  // voter-rolled-back
	VoterEpochOld                    // voter-epoch-old
	FencingTokenOld                  // fencing-token-old
	LeaseHeldElsewhere               // lease-held-elsewhere
	SettingsInvalid                  // settings-invalid
	NotAuthenticated                 // not-authenticated
	TableFull                        // table-full
	BillNotSafe                      // bill-not-safe
	RouteUnknown                     // route-unknown
	PoolHeldOff                      // pool-held-off
	PoolRateLimited                  // pool-rate-limited
	PromptQuarantined                // prompt-quarantined
	RequestQuarantined               // request-quarantined
	PoolContended                    // pool-contended
)

// Codes returns all result codes in order of their numbers.
func Codes() []Code {
	codes := make([]Code, 0, int(PoolContended)+1)
	for c := OK; c <= PoolContended; c++ {
		codes = append(codes, c)
	}
	return codes
}

// Parse returns the code with the given name, or Internal when there is none.
func Parse(name string) Code {
	for _, c := range Codes() {
		if c.String() == name {
			return c
		}
	}
	return Internal
}

// Ran states whether a refused or failed request ran on a backend server.
type Ran int

// The values of Ran.
const (
	RanUnknown Ran = iota // unknown
	NotRun                // not-run
	DidRun                // ran
)

// Ran returns whether a request that ended with code c ran, as far as the code
// alone determines it. It returns RanUnknown for codes that can occur both
// before and after dispatch.
func (c Code) Ran() Ran {
	switch c {
	case OK, SessionMoved, AnswerNotKept:
		return DidRun
	case UnknownKey, RouteNotAllowed, RouteUnknown, RequestMalformed, RequestTooLarge, DeadlinePast,
		VersionNotAllowed, NoTables, Leaving, RateLimited, ConcurrencyLimited, QueueFull,
		WaitTooLong, NoBackend, PoolFull, SessionTokenInvalid, IdempotencyKeyNeeded,
		ClosedNotRun, TablesLeaseLapsed, TablesInvalid, EditConflict, EditIDReused,
		BaseRevisionUnknown, VoterRolledBack, VoterEpochOld, FencingTokenOld, LeaseHeldElsewhere,
		SettingsInvalid, NotAuthenticated, TableFull, PoolHeldOff, PoolRateLimited, PromptQuarantined, RequestQuarantined, PoolContended:
		return NotRun
	case Internal, RetryBudgetSpent, BackendFailed, StreamBroken, DeadlineExceeded, Cancelled,
		KeyReused, KeyExpired, InProgress, OutcomeUnknown, QuorumUnreachable, EditUnknown,
		DiskFailed, DiskCorrupt, BillNotSafe:
		return RanUnknown
	}
	return RanUnknown
}

type retryAfterKey struct{}

type codeKey struct{}

type ranKey struct{}

// Errorf returns an error with a code and a formatted message.
func Errorf(c Code, format string, args ...any) error {
	return merry.Errorf(format, append(args, merry.WithValue(codeKey{}, c), merry.NoCaptureStack())...)
}

// Wrap returns err with a code, or nil when err is nil.
func Wrap(c Code, err error) error {
	if err == nil {
		return nil
	}
	return merry.Wrap(err, merry.WithValue(codeKey{}, c), merry.NoCaptureStack())
}

// WithRan returns err with an explicit statement of whether the request ran.
func WithRan(err error, r Ran) error {
	return merry.Wrap(err, merry.WithValue(ranKey{}, r), merry.NoCaptureStack())
}

// WithRetryAfter returns err with the delay after which the caller may retry.
func WithRetryAfter(err error, d time.Duration) error {
	return merry.Wrap(err, merry.WithValue(retryAfterKey{}, d), merry.NoCaptureStack())
}

// Of returns the result code of err, or OK when err is nil. Context errors
// without a code map to Cancelled and DeadlineExceeded, other errors without a
// code to Internal.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	if c, ok := merry.Value(err, codeKey{}).(Code); ok {
		return c
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return DeadlineExceeded
	}
	if errors.Is(err, context.Canceled) {
		return Cancelled
	}
	return Internal
}

// RanOf returns whether the request that failed with err ran: the explicit
// value set by WithRan, or else the value that the code of err implies.
func RanOf(err error) Ran {
	if r, ok := merry.Value(err, ranKey{}).(Ran); ok {
		return r
	}
	return Of(err).Ran()
}

// RetryAfterOf returns the delay after which the caller may retry, or 0 when
// err carries none.
func RetryAfterOf(err error) time.Duration {
	d, _ := merry.Value(err, retryAfterKey{}).(time.Duration)
	return d
}
