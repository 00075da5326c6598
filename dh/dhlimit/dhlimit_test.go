package dhlimit_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhlimit"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
)

func request(account string, priority int) dhlimit.Request {
	return dhlimit.Request{
		Account: dhtable.Account{Name: account}, Pool: "p", Priority: priority, Deadline: 20 * time.Second, ExpectedRun: time.Second,
	}
}

func newLimiter(slots int) (*dhlimit.Limiter, *dhtimer.Stepped) {
	timers := dhtimer.NewStepped()
	l := &dhlimit.Limiter{Timers: timers, MaxQueue: 8}
	l.SetMembers(dhlimit.Members{Alive: 1, Known: 1})
	l.SetSlots("p", slots)
	return l, timers
}

func waitForQueueLength(l *dhlimit.Limiter, waiting int) {
	for l.Pool("p").Waiting != waiting {
		runtime.Gosched()
	}
}

// Guards against a queue that ignores weights or priorities, and against release
// losing a slot or freeing it twice.
func TestWeightedFairOrder(t *testing.T) {
	l, timers := newLimiter(1)
	ctx := context.Background()
	release, err := l.Admit(ctx, request("first", 0))
	assert.NilError(t, err)
	group := dhgroup.New(ctx)
	order := make(chan string, 16)
	waiting := 0
	for _, r := range []dhlimit.Request{
		request("a", 1), request("a", 1), request("a", 5), request("b", 1), request("b", 1), request("b", 1), request("b", 1),
	} {
		if r.Account.Name == "b" {
			r.Account.Weight = 2
		}
		group.Go(func(ctx context.Context) error {
			release, err := l.Admit(ctx, r)
			if err != nil {
				return err
			}
			order <- fmt.Sprint(r.Account.Name, r.Priority)
			timers.Step(time.Second)
			release()
			release()
			return nil
		})
		waiting++
		waitForQueueLength(l, waiting)
	}
	timers.Step(time.Second)
	release()
	assert.NilError(t, group.Wait())
	got := ""
	for range waiting {
		got += <-order + " "
	}
	assert.Equal(t, got, "a5 b1 b1 a1 b1 b1 a1 ")
	assert.DeepEqual(t, l.Pool("p"), dhlimit.PoolState{Slots: 1, MeanRun: time.Second})
}

// Guards against queueing a request that cannot end in time, against a refusal
// without retry-after, and against a full queue that refuses a request of higher
// priority or of an account within its share.
func TestRefusesRequestsThatWouldBeLate(t *testing.T) {
	l, timers := newLimiter(1)
	ctx, cancel := context.WithCancel(context.Background())
	release, err := l.Admit(ctx, request("hog", 0))
	assert.NilError(t, err)
	short := request("hog", 0)
	short.Deadline = 1900 * time.Millisecond
	refused := func(r dhlimit.Request, want dhcode.Code) {
		t.Helper()
		_, err := l.Admit(ctx, r)
		assert.Equal(t, dhcode.Of(err), want, "%v", err)
		assert.Equal(t, dhcode.RanOf(err), dhcode.NotRun)
		assert.Assert(t, want == dhcode.DeadlinePast || dhcode.RetryAfterOf(err) > 0)
	}
	refused(short, dhcode.WaitTooLong)
	short.Deadline = 0
	refused(short, dhcode.DeadlinePast)
	short.Pool, short.Deadline = "none", time.Second
	refused(short, dhcode.PoolFull)

	group := dhgroup.New(ctx)
	codes := make(chan string, 16)
	wait := func(r dhlimit.Request) {
		group.Go(func(ctx context.Context) error {
			_, err := l.Admit(ctx, r)
			codes <- fmt.Sprint(r.Account.Name, r.Priority, " ", dhcode.Of(err), " ", dhcode.RanOf(err))
			return nil
		})
	}
	for i := range 8 {
		wait(request("hog", 1))
		waitForQueueLength(l, i+1)
	}
	refused(request("hog", 1), dhcode.QueueFull)
	wait(request("hog", 2))
	assert.Equal(t, <-codes, "hog1 queue-full not-run")
	wait(request("small", 0))
	assert.Equal(t, <-codes, "hog1 queue-full not-run")
	// The slot stays in use, so the last requests of the queue can no longer end in time.
	timers.Step(12500 * time.Millisecond) // leaves 6.5 s, and the last request needs 7 s
	l.Tick()
	assert.Equal(t, <-codes, "hog1 wait-too-long not-run")
	assert.Equal(t, l.Pool("p").Waiting, 7)
	cancel()
	for range 7 {
		<-codes
	}
	waitForQueueLength(l, 0)
	release()
	assert.Equal(t, l.Pool("p").Running, 0)
}

// Guards against refusing all waiting requests when a pool has no slots for a
// moment, and against refusing them with an unbounded retry-after.
func TestQueueSurvivesAPoolWithoutSlots(t *testing.T) {
	l, timers := newLimiter(1)
	ctx := context.Background()
	_, err := l.Admit(ctx, request("a", 0))
	assert.NilError(t, err)
	group := dhgroup.New(ctx)
	group.Go(func(ctx context.Context) error {
		_, err := l.Admit(ctx, request("a", 0))
		return err
	})
	waitForQueueLength(l, 1)
	l.SetSlots("p", 0)
	l.Tick()
	assert.Equal(t, l.Pool("p").Waiting, 1)
	timers.Step(19500 * time.Millisecond)
	l.Tick()
	err = group.Wait()
	assert.Equal(t, dhcode.Of(err), dhcode.WaitTooLong)
	assert.Assert(t, dhcode.RetryAfterOf(err) < time.Minute)
}

// Guards against a pool with much traffic accumulating no more retries than a
// pool with little traffic, so that a burst of failures exhausts its budget and
// a broken stream is not resumed. Also guards against retries that exceed the
// permitted extra load in any window.
func TestBudgetAccumulatesByTraffic(t *testing.T) {
	const ratio, earned, window = 0.9, 0.6, 100
	b := dhlimit.Budget{Ratio: earned, Max: 1}
	b.SetMax("busy", (ratio-earned)*window)
	for range 10 * window {
		b.RecordAttempt("busy")
		b.RecordAttempt("quiet")
	}
	spend := func(pool string) (n int) {
		for b.Retry(pool) == nil {
			n++
		}
		return n
	}
	assert.Equal(t, spend("quiet"), 1)
	spent := spend("busy")
	assert.Equal(t, spent, 30)
	for range window {
		b.RecordAttempt("busy")
		if b.Retry("busy") == nil {
			spent++
		}
	}
	assert.Assert(t, spent <= ratio*window, "%d retries with %d requests", spent, window)
}
