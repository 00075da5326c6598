package dhanswer_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
)

func table() *dhanswer.Table {
	return &dhanswer.Table{Timers: dhtimer.NewStepped(), MaxAnswers: 2, MaxBytes: 64, Keep: time.Minute}
}

func chunk(request string, attempt int32, offset int64, text string) *dhpb.Chunk {
	return &dhpb.Chunk{RequestId: request, Attempt: attempt, Offset: offset, Text: text, Tokens: 1}
}

// Guards against an answer that contains chunks of an earlier attempt, repeated
// text or chunks of another request (R7).
func TestAppendTakesOnlyItsOwnText(t *testing.T) {
	a, _, err := table().Create("crew-east", "r1", 1)
	assert.NilError(t, err)
	a.StartAttempt(1, "oak", "v1")
	assert.NilError(t, a.Append(chunk("r1", 1, 0, "one ")))
	a.StartAttempt(2, "oak", "v1")
	assert.NilError(t, a.Append(chunk("r1", 1, 4, "late ")))
	assert.NilError(t, a.Append(chunk("r2", 2, 4, "foreign ")))
	assert.NilError(t, a.Append(chunk("r1", 2, 0, "one ")))
	assert.NilError(t, a.Append(chunk("r1", 2, 2, "e two ")))
	assert.Equal(t, dhcode.Of(a.Append(chunk("r1", 2, 20, "gap"))), dhcode.StreamBroken)
	assert.Equal(t, a.Text(), "one two ")
}

// Guards against an answer that ended with an error but looks complete to a
// reader.
func TestReadEndsWithTheError(t *testing.T) {
	ctx := context.Background()
	a, _, err := table().Create("crew-east", "r1", 1)
	assert.NilError(t, err)
	a.StartAttempt(1, "oak", "v1")
	assert.NilError(t, a.Append(chunk("r1", 1, 0, "one ")))
	a.Finish(nil, dhcode.Errorf(dhcode.StreamBroken, "broken"), time.Time{})
	part, err := a.Read(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, part.Text, "one ")
	assert.Assert(t, !part.Done)
	_, err = a.Read(ctx, len(part.Text))
	assert.Equal(t, dhcode.Of(err), dhcode.StreamBroken)
}

// Guards against a reader that receives an answer that the cascade rejected.
func TestHeldTextIsNotRead(t *testing.T) {
	a, _, err := table().Create("crew-east", "r1", 1)
	assert.NilError(t, err)
	a.StartAttempt(1, "pine", "v1")
	a.Hold()
	assert.NilError(t, a.Append(chunk("r1", 1, 0, "poor")))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = a.Read(ctx, 0)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, a.Reset())
	a.StartAttempt(2, "oak", "v1")
	a.Release()
	assert.NilError(t, a.Append(chunk("r1", 2, 0, "good")))
	assert.Assert(t, !a.Reset())
	part, err := a.Read(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, part.Text, "good")
}

// Guards against unbounded memory use, and against using one request id for two
// different requests.
func TestTableIsBounded(t *testing.T) {
	tab := table()
	a, existing, err := tab.Create("crew-east", "r1", 1)
	assert.NilError(t, err)
	assert.Assert(t, !existing)
	_, existing, err = tab.Create("crew-east", "r1", 1)
	assert.NilError(t, err)
	assert.Assert(t, existing)
	_, _, err = tab.Create("crew-east", "r1", 2)
	assert.Equal(t, dhcode.Of(err), dhcode.KeyReused)
	_, _, err = tab.Create("retailers", "r1", 3)
	assert.NilError(t, err)
	_, _, err = tab.Create("retailers", "r2", 4)
	assert.Equal(t, dhcode.Of(err), dhcode.TableFull)
	now := tab.Timers.Now()
	a.Finish(&dhpb.AskResponse{Text: "x"}, nil, now)
	assert.Equal(t, tab.Running(), 1)
	tab.Tick(now.Add(2 * time.Minute))
	_, _, err = tab.Create("retailers", "r2", 4)
	assert.NilError(t, err)
}

// Guards against requests that keep running after all readers have stopped, and
// against cancelling a request that a caller may still resume.
func TestAbandonedRequestIsCancelled(t *testing.T) {
	tab := table()
	tab.Grace = 10 * time.Second
	timers := tab.Timers.(*dhtimer.Stepped)
	a, _, err := tab.Create("crew-east", "r1", 1)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	a.SetCancel(cancel, true)
	tab.Tick(timers.Now().Add(time.Hour))
	assert.NilError(t, ctx.Err(), "no reader has come yet")
	stop := a.Follow(timers)
	tab.Tick(timers.Now().Add(time.Hour))
	assert.NilError(t, ctx.Err())
	stop()
	tab.Tick(timers.Now().Add(9 * time.Second))
	assert.NilError(t, ctx.Err())
	tab.Tick(timers.Now().Add(11 * time.Second))
	assert.ErrorIs(t, ctx.Err(), context.Canceled)
}
