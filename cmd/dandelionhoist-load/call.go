package main

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
	"dandelionhoist.example/dh/dhworkload"
)

// maxTries bounds how often one request is sent or resumed.
const maxTries = 8

// retryPause is the time before a request whose outcome is unknown is sent again.
const retryPause = 200 * time.Millisecond

// errBroken ends a stream that the caller breaks on purpose.
var errBroken = dhcode.Errorf(dhcode.StreamBroken, "the caller broke the stream")

// call is the caller of one request.
type call struct {
	load    *load
	request dhworkload.Request
	planned time.Time
	ask     *dhpb.AskRequest
	// before is the session's state when the request was made.
	before  sessionState
	routers []dhpbconnect.RouterServiceClient
	server  int
	// breakAt is the number of chunks after which the stream is broken once; negative is never.
	breakAt int
	// resendNow sends the second request of an order at once, else after the first answer.
	resendNow bool

	answer  answer
	latency latency
}

// latency holds when parts of an answer arrived, from the planned time.
type latency struct {
	first, whole time.Duration
	between      []time.Duration
	last         time.Time
}

// do sends the request and its duplicate, and records what became of them.
func (c *call) do(ctx context.Context, report *report) {
	ctx, cancel := dhtimer.WithTimeout(ctx, c.load.Timers, c.load.Timeout)
	defer cancel()
	group := dhgroup.New(ctx)
	resend := *c
	resend.server++
	if c.request.Resend && c.resendNow {
		group.Go(func(ctx context.Context) error {
			report.addResend(&resend, resend.send(ctx, report))
			return nil
		})
	}
	done, end := context.WithCancel(ctx)
	if c.request.CancelAfter > 0 {
		next := c.routers[(c.server+1)%len(c.routers)] // send changes c.server
		group.Go(func(context.Context) error {
			c.cancelLater(done, next, report)
			return nil
		})
	}
	err := c.send(ctx, report)
	end()
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		err = dhcode.Errorf(dhcode.DeadlineExceeded, "no answer within %s", c.load.Timeout)
	}
	if err == nil && c.answer.SessionToken != "" {
		c.load.sessions.put(c.request.Session, c.before, c.answer)
	}
	report.add(c, err)
	_ = group.Wait()
	if c.request.Resend && !c.resendNow {
		report.addResend(&resend, resend.send(ctx, report))
	}
}

// cancelLater cancels the request at another server than the first one that it was sent to.
func (c *call) cancelLater(ctx context.Context, router dhpbconnect.RouterServiceClient, report *report) {
	if dhtimer.Sleep(ctx, c.load.Timers, c.request.CancelAfter) != nil {
		return
	}
	response, err := router.Cancel(ctx, &dhpb.CancelRequest{RequestId: c.request.ID})
	report.addCancel(err == nil && response.GetFound())
}

// send sends the request until it has an answer, is refused or fails for good.
func (c *call) send(ctx context.Context, report *report) error {
	resume := false
	for try := 1; ; try++ {
		err := c.once(ctx, resume)
		if err == nil {
			return c.check()
		}
		if asViolation(err) != nil || try == maxTries || ctx.Err() != nil {
			return err
		}
		code, ran := dhcode.Of(err), dhcode.RanOf(err)
		switch {
		case ran == dhcode.NotRun && (code == dhcode.StreamBroken || code == dhcode.Leaving && c.request.Key == ""):
			// The key of an order that a server refused as not run is closed.
			report.addRetry("sent to the next server")
		case ran == dhcode.RanUnknown && c.request.Key != "" && code != dhcode.KeyReused:
			report.addRetry("order sent again with its key")
			c.answer = answer{}
			if dhtimer.Sleep(ctx, c.load.Timers, retryPause) != nil {
				return err
			}
		case code == dhcode.StreamBroken:
			report.addRetry("resumed at its offset")
			resume = true
		case resume && code == dhcode.AnswerNotKept:
			report.addRetry("asked again")
			resume, c.answer = false, answer{}
		default:
			return err
		}
		c.server++
	}
}

// once sends or resumes the request at one server.
func (c *call) once(ctx context.Context, resume bool) error {
	router := c.routers[c.server%len(c.routers)]
	if c.request.Unary && !resume {
		response, err := router.Ask(ctx, c.ask)
		if err != nil {
			return dhwire.FromConnect(err)
		}
		c.arrived(len(response.GetText()))
		return c.answer.whole(c.ask, response)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stream *connect.ServerStreamForClient[dhpb.Chunk]
	var err error
	if resume {
		request := &dhpb.ResumeRequest{RequestId: c.request.ID, Offset: int64(len(c.answer.received))}
		stream, err = router.Resume(ctx, request)
	} else {
		stream, err = router.Stream(ctx, c.ask)
	}
	if err != nil {
		return dhwire.FromConnect(err)
	}
	return c.receive(stream)
}

// receive reads chunks until the stream ends.
func (c *call) receive(stream *connect.ServerStreamForClient[dhpb.Chunk]) error {
	c.answer.begin()
	for n := 0; stream.Receive(); n++ {
		if n == c.breakAt {
			c.breakAt = -1
			return errBroken
		}
		if err := c.answer.add(c.ask, stream.Msg()); err != nil {
			return err
		}
		c.arrived(len(stream.Msg().GetText()))
	}
	if err := stream.Err(); err != nil {
		return dhwire.FromConnect(err)
	}
	return c.answer.end()
}

// arrived notes the time of a part of the answer.
func (c *call) arrived(bytes int) {
	now := c.load.Timers.Now()
	c.latency.whole = now.Sub(c.planned)
	if bytes == 0 {
		return
	}
	if c.latency.last.IsZero() {
		c.latency.first = now.Sub(c.planned)
	} else {
		c.latency.between = append(c.latency.between, now.Sub(c.latency.last))
	}
	c.latency.last = now
}

// check checks a complete answer against its request and its session.
func (c *call) check() error {
	if c.answer.Model == "" || c.answer.Version == "" {
		return violationf("the answer names no version")
	}
	was := c.before.versions[c.answer.Model]
	if was != "" && was != c.answer.Version && !c.answer.SessionMoved {
		return violationf("session %s was on %s/%s and got %s/%s without the flag that it moved",
			c.request.Session, c.answer.Model, was, c.answer.Model, c.answer.Version)
	}
	if c.load.CheckText == nil {
		return nil
	}
	if err := c.load.CheckText(c.ask, c.answer); err != nil {
		return violationf("%w", err)
	}
	return nil
}

func asViolation(err error) error {
	var v violation
	if errors.As(err, &v) {
		return v
	}
	return nil
}
