// Package dhclaim makes sure that a non-idempotent request runs at most once.
//
// Each idempotency key of a client account has a claim in a register:
//
//	taken -> dispatching -> done | broken | closed
//	taken -> closed
//
// Take makes an entry VM the owner of one attempt. Dispatch moves the claim
// to dispatching, on a quorum and synced, before the first byte goes to a
// backend server; it succeeds only for the owner of the current attempt, and
// once. A claim in state taken may be taken over with a higher attempt, so a
// crashed, slow or partitioned owner can never dispatch as well.
//
// Every decision is made on the value that the register returns as in force,
// never on the value that an update function saw.
//
// # Usage
//
//	claims := &dhclaim.Claims{Registers: registers, Timers: timers, Owner: "vm-a.8c1f", OwnerGone: gone}
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
	// Retention is how long a key is kept.
	Retention = 24 * time.Hour
	// MaxAnswerBytes is the largest answer that is stored.
	MaxAnswerBytes = 64 << 10
	// TakeOverAfter is how long a claim must be seen in state taken, without a
	// change, before another VM takes it over from a live owner.
	TakeOverAfter = 10 * time.Second
	// MaxActive bounds the claims that one VM owns at a time.
	MaxActive = 16384
	// MaxKeyBytes bounds idempotency keys.
	MaxKeyBytes = 256
)

// State is the state of an idempotency key.
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

// Register stores small values on a quorum.
type Register interface {
	// Update applies f to the value of key and returns the value in force. The
	// code quorum-unreachable says that the outcome is unknown.
	Update(ctx context.Context, key string, f func(old []byte) ([]byte, error)) ([]byte, error)
	// Read returns the value in force, or nil when there is none.
	Read(ctx context.Context, key string) ([]byte, error)
}

// Request is a non-idempotent request of a client account.
type Request struct {
	Account string
	// Key is the idempotency key. One that starts with "t", ten digits of Unix
	// seconds and "-" carries the caller's time of issue; see Compact.
	Key string
	// ID is the request id that answers and bills carry.
	ID string
	// Hash covers everything that makes the request the same one.
	Hash [32]byte
}

// Status is the state of a key.
type Status struct {
	State     State
	RequestID string
	Owner     string
	Attempt   uint64
	// Code is the code with which a done request ended.
	Code dhcode.Code
	// Answer is set for a done request whose answer was kept.
	Answer *dhpb.AskResponse
}

// Claim is the ownership of one attempt of a request on this VM.
type Claim struct {
	request Request
	key     string
	take    string

	mu                sync.Mutex
	attempt           uint64
	dispatched, ended bool
}

// Attempt returns the number of the attempt.
func (c *Claim) Attempt() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt
}

// Claims takes and settles claims for one entry VM. Its fields are set before
// use; zero settings mean the defaults.
type Claims struct {
	Registers Register
	Timers    dhtimer.Service
	// Owner names this start of this VM to OwnerGone and in messages. A name
	// that is used twice costs an attempt, never a second run.
	Owner string
	// OwnerGone reports whether another owner has certainly or probably
	// stopped. A wrong answer costs an attempt or an outcome, never a second run.
	OwnerGone      func(owner string) bool
	Retention      time.Duration
	TakeOverAfter  time.Duration
	MaxAnswerBytes int
	MaxActive      int

	mu     sync.Mutex
	nonce  string // makes takes unique without unique owners
	takes  uint64
	active map[string]string // take by register key
	seen   map[string]sighting
	clock  clockCache
}

// sighting is when this VM first saw a take in state taken.
type sighting struct {
	take  string
	since time.Time
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
