// Package dhanswer holds answers while they are made and for some time after,
// so that a caller that lost its connection can resume at an offset.
//
// One goroutine writes an Answer; any number of readers follow it.
//
// # Usage
//
//	answers := dhanswer.Table{Timers: timers, MaxAnswers: 4096, MaxBytes: 1 << 20, Keep: time.Minute}
//	answer, existing, err := answers.Create(account, requestID, fingerprint)
//	err = answer.Append(chunk)        // refuses what does not belong to the answer
//	answer.Finish(result, nil)        // releases the last chunk
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

// Answer is the answer to one request. It is safe for concurrent use.
type Answer struct {
	requestID   string
	fingerprint uint64
	maxBytes    int

	mu      sync.Mutex
	changed chan struct{}
	text    []byte
	tokens  int
	attempt int32
	// held is set while text may still be replaced, as in a cascade.
	held    bool
	model   string
	version string
	done    bool
	result  *dhpb.AskResponse
	err     error
	ended   time.Time
	cancel  context.CancelFunc
	// readers is the number of callers that follow the answer, idle the time
	// since there is none.
	readers     int
	idle        time.Time
	abandonable bool
}

// Part is what a reader gets: text from an offset on. Done is set when the
// answer is whole; Result is set then.
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

// SetCancel sets the function that stops the request, and whether it may be
// called because the answer has no reader.
func (a *Answer) SetCancel(cancel context.CancelFunc, abandonable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel, a.abandonable = cancel, abandonable
}

// Cancel stops the request. It returns false when the answer has ended.
func (a *Answer) Cancel() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.cancel == nil {
		return false
	}
	a.cancel()
	return true
}

// Follow counts a reader until stop is called.
func (a *Answer) Follow(timers dhtimer.Service) (stop func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	return func() {
		now := timers.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		a.idle = now
	}
}

// abandon cancels the request when it has had no reader since t.
func (a *Answer) abandon(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.done && a.abandonable && a.readers == 0 && !a.idle.IsZero() && a.idle.Before(t) {
		a.cancel()
	}
}

// StartAttempt makes attempt the only one whose chunks are taken.
func (a *Answer) StartAttempt(attempt int32, model, version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempt, a.model, a.version = attempt, model, version
}

// Hold keeps text from readers until Release, so that Reset can drop it.
func (a *Answer) Hold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = true
}

// Release gives held text to readers.
func (a *Answer) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = false
	a.notify()
}

// Reset drops held text. It returns false when readers may have seen some.
func (a *Answer) Reset() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.held {
		return len(a.text) == 0
	}
	a.text, a.tokens = nil, 0
	return true
}

// Append adds a chunk. A chunk of another request or attempt, or one that
// repeats earlier text, is ignored. A gap returns the code stream-broken.
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

// Text returns the text so far.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.text)
}

// Finish ends the answer with a result or an error.
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
	a.done, a.held, a.result, a.err, a.ended = true, false, result, err, now
	a.notify()
}

// Read waits for text after offset or for the end and returns it. When the
// answer ended with an error, text that came before is returned first.
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

// poll returns what there is to read, or a channel that closes on a change.
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

// Wait waits for the end of the answer.
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
	// MaxAnswers and MaxBytes bound the table and each answer.
	MaxAnswers, MaxBytes int
	// Keep is how long an answer stays after its end.
	Keep time.Duration
	// Grace is how long a request goes on after its last reader has gone, so
	// that the caller can resume; 0 means to its end.
	Grace time.Duration

	mu      sync.Mutex
	answers map[name]*Answer
}

type name struct{ account, requestID string }

// Create adds an answer, or returns the existing one of the same request. The
// same request id with another fingerprint returns the code key-reused, a full
// table the code table-full.
func (t *Table) Create(account, requestID string, fingerprint uint64) (answer *Answer, existing bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := name{account, requestID}
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
		t.answers = make(map[name]*Answer)
	}
	a := &Answer{requestID: requestID, fingerprint: fingerprint, maxBytes: t.MaxBytes, changed: make(chan struct{})}
	t.answers[key] = a
	return a, false, nil
}

// Get returns an answer.
func (t *Table) Get(account, requestID string) (*Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.answers[name{account, requestID}]
	return a, ok
}

// Remove drops an answer, so that the request can be sent again.
func (t *Table) Remove(account, requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.answers, name{account, requestID})
}

// Tick drops answers that ended longer than Keep ago and cancels requests
// without a reader.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, a := range t.answers {
		if a.endedBefore(now.Add(-t.Keep)) {
			delete(t.answers, key)
		}
		if t.Grace > 0 {
			a.abandon(now.Add(-t.Grace))
		}
	}
}

// Running returns the number of answers that have not ended.
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
	return a.done && a.ended.Before(t)
}
