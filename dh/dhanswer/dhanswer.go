// Package dhanswer buffers answers while they are generated and for some time
// afterwards, so that a caller that lost its connection can resume at an offset.
//
// One goroutine writes an Answer, and any number of goroutines may read it.
//
// # Usage
//
//	answers := dhanswer.Table{Timers: timers, MaxAnswers: 4096, MaxBytes: 1 << 20, Keep: time.Minute}
//	answer, existing, err := answers.Create(account, requestID, fingerprint)
//	err = answer.Append(chunk)        // ignores chunks of other requests or attempts
//	answer.Finish(result, nil)        // lets readers see the result
//	part, err := answer.Read(ctx, offset)
package dhanswer

import (
	"context"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

// Answer is the complete or partial answer to one request. It is safe for
// concurrent use.
type Answer struct {
	requestID   string
	fingerprint uint64
	maxBytes    int

	mu      sync.Mutex
	changed chan struct{}
	text    []byte
	tokens  int
	attempt int32
	// held is set while readers must not see the text because it may still be
	// replaced, as in a cascade.
	held    bool
	model   string
	version string
	done    bool
	result  *dhpb.AskResponse
	err     error
	endedAt time.Time
	cancel  context.CancelFunc
	// readers is the number of callers that follow the answer, and idleSince the
	// time at which the last one stopped.
	readers             int
	idleSince           time.Time
	cancelWithoutReader bool
}

// Part is a piece of an answer that starts at Offset. Done is set, and Result
// non-nil, once the answer is complete.
type Part struct {
	Offset         int
	Text           string
	Tokens         int
	Attempt        int32
	Model, Version string
	Done           bool
	Result         *dhpb.AskResponse
}

// RequestID returns the id of the answered request.
func (a *Answer) RequestID() string { return a.requestID }

// SetCancel sets the function that cancels the request, and whether Table.Tick
// may call it once Table.Grace has passed since the last reader stopped.
func (a *Answer) SetCancel(cancel context.CancelFunc, cancelWithoutReader bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel, a.cancelWithoutReader = cancel, cancelWithoutReader
}

// Cancel cancels the request. It returns false if the answer has ended or no
// cancel function is set.
func (a *Answer) Cancel() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.cancel == nil {
		return false
	}
	a.cancel()
	return true
}

// Follow registers a reader, which counts until stop is called.
func (a *Answer) Follow(timers dhtimer.Service) (stop func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	return func() {
		now := timers.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		a.idleSince = now
	}
}

// cancelIfAbandoned cancels the request if its last reader stopped before t. An
// answer that never had a reader is not cancelled.
func (a *Answer) cancelIfAbandoned(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done && a.cancelWithoutReader && a.readers == 0 && !a.idleSince.IsZero() && a.idleSince.Before(t) {
		a.cancel()
	}
}

// StartAttempt sets the current attempt. Chunks of other attempts are ignored.
func (a *Answer) StartAttempt(attempt int32, model, version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt, a.model, a.version = attempt, model, version
}

// Hold hides text from readers until Release, so that Reset can discard it.
func (a *Answer) Hold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = true
}

// Release makes held text visible to readers.
func (a *Answer) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = false
	a.notify()
}

// Reset discards held text. It returns false if readers may already have read
// some text.
func (a *Answer) Reset() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.held {
		return len(a.text) == 0
	}
	a.text, a.tokens = nil, 0
	return true
}

// Append adds a chunk. It ignores chunks of other requests or attempts and text
// that was already appended. A gap returns code stream-broken, and an answer that
// would become too long returns code request-too-large.
func (a *Answer) Append(c *dhpb.Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || c.GetRequestId() != a.requestID || c.GetAttempt() != a.attempt {
		return nil
	}
	skip := int64(len(a.text)) - c.GetOffset()
	if skip < 0 {
		return dhcode.Errorf(dhcode.StreamBroken, "chunk at offset %d follows text of %d bytes", c.GetOffset(), len(a.text))
	}
	if skip >= int64(len(c.GetText())) {
		return nil
	}
	text := c.GetText()[skip:]
	if len(a.text)+len(text) > a.maxBytes {
		return dhcode.Errorf(dhcode.RequestTooLarge, "the answer is longer than %d bytes", a.maxBytes)
	}
	a.text = append(a.text, text...)
	a.tokens += int(c.GetTokens())
	a.notify()
	return nil
}

// Len returns the number of bytes and tokens appended so far.
func (a *Answer) Len() (textBytes, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.text), a.tokens
}

// Text returns the text appended so far, even while it is held.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.text)
}

// Finish ends the answer with a result, whose text replaces the appended text, or
// with an error. Later calls have no effect.
func (a *Answer) Finish(result *dhpb.AskResponse, err error, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	if err == nil {
		a.text = []byte(result.GetText())
		a.tokens = int(result.GetTokens())
		a.model, a.version = result.GetModel(), result.GetVersion()
	}
	a.done, a.held, a.result, a.err, a.endedAt = true, false, result, err, now
	a.notify()
}

// Read waits until there is text after offset or the answer has ended, and
// returns that text. If the answer ended with an error, Read returns the
// remaining text first and the error on the next call.
func (a *Answer) Read(ctx context.Context, offset int) (Part, error) {
	for {
		part, changed, err := a.poll(offset)
		if changed == nil {
			return part, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Part{}, ctx.Err()
		}
	}
}

// poll returns the text after offset or the end of the answer. If there is
// neither, it returns a channel that is closed on the next change.
func (a *Answer) poll(offset int) (Part, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset > len(a.text) && (a.done || !a.held) {
		return Part{}, nil, dhcode.Errorf(dhcode.RequestMalformed, "offset %d is beyond the %d bytes of the answer", offset, len(a.text))
	}
	part := Part{
		Offset: offset, Tokens: a.tokens, Attempt: a.attempt, Model: a.model, Version: a.version,
		Done: a.done && a.err == nil, Result: a.result,
	}
	if offset < len(a.text) && !a.held {
		part.Text = string(a.text[offset:])
		return part, nil, nil
	}
	if a.done {
		return part, nil, a.err
	}
	return Part{}, a.changed, nil
}

// Wait waits until the answer has ended and returns its result.
func (a *Answer) Wait(ctx context.Context) (*dhpb.AskResponse, error) {
	for {
		a.mu.Lock()
		done, result, err, changed := a.done, a.result, a.err, a.changed
		a.mu.Unlock()
		if done {
			return result, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Table holds answers by client account and request id.
type Table struct {
	Timers dhtimer.Service
	// MaxAnswers is the maximum number of answers in the table, and MaxBytes the
	// maximum length of each answer's text.
	MaxAnswers, MaxBytes int
	// Keep is how long an answer is kept after it has ended.
	Keep time.Duration
	// Grace is how long a request continues after its last reader has stopped, so
	// that the caller can resume; with 0 it always runs to its end.
	Grace time.Duration

	mu      sync.Mutex
	answers map[answerKey]*Answer
}

type answerKey struct{ account, requestID string }

// Create adds an answer, or returns the existing one of the same request. It
// returns code key-reused if the request id exists with another fingerprint, and
// code table-full if the table is full.
func (t *Table) Create(account, requestID string, fingerprint uint64) (answer *Answer, existing bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := answerKey{account, requestID}
	if a, ok := t.answers[key]; ok {
		if a.fingerprint != fingerprint {
			return nil, false, dhcode.Errorf(dhcode.KeyReused, "request id %q was used for another request", requestID)
		}
		return a, true, nil
	}
	if len(t.answers) >= t.MaxAnswers {
		return nil, false, dhcode.Errorf(dhcode.TableFull, "%d answers are held, at most %d are kept", len(t.answers), t.MaxAnswers)
	}
	if t.answers == nil {
		t.answers = make(map[answerKey]*Answer)
	}
	a := &Answer{requestID: requestID, fingerprint: fingerprint, maxBytes: t.MaxBytes, changed: make(chan struct{})}
	t.answers[key] = a
	return a, false, nil
}

// Get returns the answer of a request and whether it exists.
func (t *Table) Get(account, requestID string) (*Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.answers[answerKey{account, requestID}]
	return a, ok
}

// Remove deletes an answer, so that the request can be sent again.
func (t *Table) Remove(account, requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.answers, answerKey{account, requestID})
}

// Tick deletes answers that ended more than Keep ago, and cancels requests whose
// last reader stopped more than Grace ago.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, a := range t.answers {
		if a.endedBefore(now.Add(-t.Keep)) {
			delete(t.answers, key)
		}
		if t.Grace > 0 {
			a.cancelIfAbandoned(now.Add(-t.Grace))
		}
	}
}

// Running returns the number of answers that have not ended yet.
func (t *Table) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range t.answers {
		if !a.isDone() {
			n++
		}
	}
	return n
}

func (a *Answer) isDone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

func (a *Answer) endedBefore(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done && a.endedAt.Before(t)
}
