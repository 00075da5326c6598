package main

import (
	"fmt"

	"dandelionhoist.example/dh/dhpb"
)

// textCheck reports whether the text of a complete answer is the one that a
// backend server gives to the request.
type textCheck func(ask *dhpb.AskRequest, a answer) error

// violation is an answer that breaks a promise, unlike a refusal.
type violation struct{ err error }

func (v violation) Error() string { return v.err.Error() }

func (v violation) Unwrap() error { return v.err }

func violationf(format string, args ...any) error {
	return violation{fmt.Errorf(format, args...)}
}

// answer is what has arrived of an answer.
type answer struct {
	// Text is the whole text; it is set when the answer is complete.
	Text           string
	Model, Version string
	SessionToken   string
	SessionMoved   bool
	Replayed       bool
	// Last is set when the final chunk has arrived.
	Last bool

	// received is the text so far.
	received []byte
	// attempt is the newest attempt of the current stream.
	attempt int32
}

// begin prepares for the chunks of a stream, which may resume the answer.
func (a *answer) begin() { a.attempt, a.Last = 0, false }

// add appends a chunk after checking that it is the next one of this answer.
func (a *answer) add(ask *dhpb.AskRequest, c *dhpb.Chunk) error {
	switch {
	case c.GetRequestId() != ask.GetRequestId():
		return violationf("a chunk of request %s came in the answer to %s", c.GetRequestId(), ask.GetRequestId())
	case a.Last:
		return violationf("a chunk came after the last one")
	case c.GetOffset() != int64(len(a.received)):
		return violationf("a chunk at offset %d came at offset %d", c.GetOffset(), len(a.received))
	case c.GetAttempt() < a.attempt:
		return violationf("a chunk of attempt %d came after attempt %d", c.GetAttempt(), a.attempt)
	case a.Model != "" && c.GetModel() != "" && (a.Model != c.GetModel() || a.Version != c.GetVersion()):
		return violationf("a chunk of %s/%s came in an answer of %s/%s", c.GetModel(), c.GetVersion(), a.Model, a.Version)
	}
	a.attempt = c.GetAttempt()
	a.received = append(a.received, c.GetText()...)
	if c.GetModel() != "" {
		a.Model, a.Version = c.GetModel(), c.GetVersion()
	}
	if c.GetSessionToken() != "" {
		a.SessionToken = c.GetSessionToken()
	}
	a.SessionMoved = a.SessionMoved || c.GetSessionMoved()
	a.Replayed = a.Replayed || c.GetReplayed()
	a.Last = c.GetLast()
	return nil
}

// end checks and completes an answer whose stream ended without an error.
func (a *answer) end() error {
	if !a.Last {
		return violationf("the stream ended without an error after %d bytes and without a last chunk", len(a.received))
	}
	a.Text = string(a.received)
	return nil
}

// whole takes an answer that came in one message.
func (a *answer) whole(ask *dhpb.AskRequest, r *dhpb.AskResponse) error {
	if r.GetRequestId() != ask.GetRequestId() {
		return violationf("the answer to request %s came to %s", r.GetRequestId(), ask.GetRequestId())
	}
	*a = answer{
		Text: r.GetText(), Model: r.GetModel(), Version: r.GetVersion(), SessionToken: r.GetSessionToken(),
		SessionMoved: r.GetSessionMoved(), Replayed: r.GetReplayed(), Last: true,
	}
	return nil
}
