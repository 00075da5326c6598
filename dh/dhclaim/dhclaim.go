// Package dhclaim ensures that a non-idempotent request runs at most once.
//
// Each idempotency key of a client account has a claim, which is stored in a
// replicated register and goes through these states:
//
//	taken -> dispatching -> done | broken | closed
//	taken -> closed
//
// Take makes an entry VM the owner of one attempt. Dispatch moves the claim to
// dispatching, synced to disk on a quorum, before the first byte is sent to a
// backend server. It succeeds at most once, and only for the owner of the
// current attempt. Another VM may take over a claim in state taken with a higher
// attempt number, after which a crashed, slow or partitioned owner can no longer
// dispatch.
//
// Every decision is based on the committed value that the register returns,
// never on the value that was passed to an update function.
//
// # Usage
//
//	claims := &dhclaim.Claims{Registers: registers, Timers: timers, Owner: "vm-a.8c1f", OwnerStopped: stopped}
//	claim, status, err := claims.Take(ctx, dhclaim.Request{Account: a, Key: k, ID: id, Hash: hash})
//	if err != nil { ... }          // in-progress, key-reused, closed-not-run, outcome-unknown, ...
//	if status != nil { ... }       // answered before
//	err = claims.Dispatch(ctx, claim)
//	... send the request ...
//	err = claims.Finish(ctx, claim, dhcode.OK, answer) // or Break, or Close when it certainly did not run
package dhclaim

import (
	"cmp"
	"context"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

//go:generate ../../bin/stringer -type=State -linecomment

// The defaults of Claims.
const (
	// Retention is how long an idempotency key and its outcome are kept.
	Retention = 24 * time.Hour
	// MaxAnswerBytes is the largest encoded answer that is stored with a claim.
	MaxAnswerBytes = 64 << 10
	// TakeOverAfter is how long another VM must observe a claim unchanged in
	// state taken before it takes the claim over from a live owner.
	TakeOverAfter = 10 * time.Second
	// MaxActive is the maximum number of claims that one VM owns at a time.
	MaxActive = 16384
	// MaxKeyBytes is the maximum length of an idempotency key and of an account.
	MaxKeyBytes = 256
)

// State is the state of the claim on an idempotency key.
type State int

// The states.
const (
	None        State = iota // none
	Taken                    // taken
	Dispatching              // dispatching
	Done                     // done
	Broken                   // broken
	Closed                   // closed
	Expired                  // expired
)

// Register stores small values on a quorum of voters.
type Register interface {
	// Update applies f to the value of key and returns the committed value. Code
	// quorum-unreachable means that the update may or may not take effect.
	Update(ctx context.Context, key string, f func(old []byte) ([]byte, error)) ([]byte, error)
	// Read returns the committed value, or nil when there is none.
	Read(ctx context.Context, key string) ([]byte, error)
}

// Request is a non-idempotent request of a client account.
type Request struct {
	Account string
	// Key is the idempotency key. A key that starts with "t", ten digits of Unix
	// seconds and "-" carries the time at which the caller issued it; see Compact.
	Key string
	// ID is the request id that appears in answers and bills.
	ID string
	// Hash identifies the content of the request. A key that is reused with
	// another hash is refused.
	Hash [32]byte
}

// Status is the state of a key with its latest attempt and its outcome.
type Status struct {
	State     State
	RequestID string
	Owner     string
	Attempt   uint64
	// Code is the result code of a done request.
	Code dhcode.Code
	// Answer is set for a done request whose answer was kept.
	Answer *dhpb.AskResponse
}

// Claim is the ownership of one attempt of a request on this VM.
type Claim struct {
	request Request
	key     string
	take    string // unique id of the Take call that created the claim

	mu                sync.Mutex
	attempt           uint64
	dispatched, ended bool
}

// Attempt returns the attempt number, which starts at 1.
func (c *Claim) Attempt() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt
}

// Claims creates and ends claims for one entry VM. Its exported fields must be
// set before use; a zero limit or duration selects the default.
type Claims struct {
	Registers Register
	Timers    dhtimer.Service
	// Owner identifies this VM since its last start, in OwnerStopped and in
	// messages. Reusing a name can lose an attempt but never causes a second run.
	Owner string
	// OwnerStopped reports whether another owner has certainly or probably stopped.
	// A wrong result can lose an attempt or leave an outcome unknown but never
	// causes a second run.
	OwnerStopped   func(owner string) bool
	Retention      time.Duration
	TakeOverAfter  time.Duration
	MaxAnswerBytes int
	MaxActive      int

	mu       sync.Mutex
	nonce    string // keeps take ids unique even if two VMs share an owner name
	takes    uint64
	active   map[string]string // take id by register key
	observed map[string]observedTake
	clock    clockCache
}

// observedTake records when this VM first read a claim of another take in state
// taken.
type observedTake struct {
	take      string
	firstSeen time.Time
}

func (c *Claims) retention() time.Duration { return cmp.Or(c.Retention, Retention) }

func (c *Claims) maxAnswerBytes() int {
	if c.MaxAnswerBytes <= 0 {
		return MaxAnswerBytes
	}
	return c.MaxAnswerBytes
}

func (c *Claims) maxActive() int {
	if c.MaxActive <= 0 {
		return MaxActive
	}
	return c.MaxActive
}

func checkRequest(account, key string) error {
	if account == "" || key == "" || len(account) > MaxKeyBytes || len(key) > MaxKeyBytes {
		return dhcode.Errorf(dhcode.RequestMalformed,
			"account and idempotency key have %d and %d bytes, expected 1 to %d", len(account), len(key), MaxKeyBytes)
	}
	return nil
}
