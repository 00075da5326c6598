package dhrouter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhevent"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhplacement"
)

// kept is a whole answer.
type kept struct {
	status int
	header http.Header
	body   *plainBody
}

// relay implements exchange.
func (f *forward) relay(ctx context.Context, p dhplacement.Placement) (time.Duration, error) {
	b := p.Backend
	start := f.router.Timers.Now()
	f.backend, f.answered, f.events = b, false, 0
	if f.message.Session != "" {
		f.router.sessions.put(f.poolName, f.session, b.Release, start)
	}
	f.logPlaced(p, start)
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watch := &watchdog{router: f.router, pool: f.poolName, stop: stop, patience: f.stall()}
	// The head comes with the first event.
	watch.start(start, f.firstStall(p))
	defer watch.end()
	in, err := f.router.Passer.Pass(ctx, &Outbound{
		Message: f.message, Backend: b, Account: f.account, Left: f.limit - start.Sub(f.received),
		Model: f.model, Rank: f.rank, LastEvent: f.last, HasLast: f.hasLast,
	})
	if err != nil {
		now := f.router.Timers.Now()
		if dhcode.RanOf(err) != dhcode.NotRun {
			f.router.delays.observe(f.poolName, f.model, now.Sub(start), now)
		}
		return 0, f.cause(ctx, err)
	}
	f.noteHoldOff(in, b)
	defer func() { _ = in.Body.Close() }() // the connection is given up when the answer was not read to its end
	f.router.Placer.FirstToken(p)
	head := f.router.Timers.Now()
	watch.progress(head)
	f.router.delays.observe(f.poolName, f.model, head.Sub(start), head)
	if f.route.Stream && in.Events {
		f.router.paces.observe(f.poolName, f.model, p.Ahead, head.Sub(start))
	}
	if err := f.take(in, watch); err != nil {
		return f.first(start), f.cause(ctx, err)
	}
	return f.first(start), nil
}

// first returns the time from a start to the first event, or to the end of an
// answer without events; 0 when there was none.
func (f *forward) first(start time.Time) time.Duration {
	if f.events == 0 {
		return 0
	}
	return max(f.firstAt.Sub(start), 1)
}

// stall returns the silence after which an attempt is given up, or 0 when the
// request cannot go on elsewhere: then silence is no reason to end it. Of an
// answer that is no stream nothing is heard before it is whole.
func (f *forward) stall() time.Duration {
	switch {
	case !f.repeatable() || f.sends+1 >= f.route.MaxAttempts:
		return 0
	case f.route.Stream:
		return max(stallPauses*f.route.Pause, minStall)
	case f.route.Objective <= 0:
		return 0
	}
	return max(stallObjectives*f.route.Objective, minStall)
}

// firstStall returns the silence before the first event after which an attempt
// is given up: several times what it is expected to take, within what is allowed
// without an expectation.
func (f *forward) firstStall(p dhplacement.Placement) time.Duration {
	most := max(f.wantedFirst(), f.stall())
	if expected := f.router.paces.expected(f.poolName, f.model, p.Ahead); f.route.Stream && expected > 0 {
		return min(firstExpectations*expected+minStall, most)
	}
	return most
}

// wantedFirst returns the time from the request to its first event that is
// wanted: that of the route, if it names one, within a part of the whole time.
func (f *forward) wantedFirst() time.Duration {
	most := time.Duration(float64(f.limit) * firstPart)
	if f.route.Objective <= 0 {
		return most
	}
	return min(f.route.Objective, most)
}

// cause replaces the error of an attempt that the watchdog ended.
func (f *forward) cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		f.paid = true // by the watchdog
		return dhcode.WithRan(dhcode.Wrap(dhcode.StreamBroken, errStalled), dhcode.RanUnknown)
	}
	return err
}

// take passes an answer on, or returns why it is none.
func (f *forward) take(in *Inbound, watch *watchdog) error {
	failed := func(ran dhcode.Ran, format string, args ...any) error {
		return dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, format, args...), ran)
	}
	id := f.backend.ID
	switch {
	case in.RequestID != f.message.ID && (in.RequestID != "" || !in.NotRun):
		return failed(dhcode.RanUnknown, "backend server %q answers request %q instead", id, in.RequestID)
	case in.Moved:
		return dhcode.WithRan(dhcode.Wrap(dhcode.BackendFailed, errMoved), dhcode.NotRun)
	case in.NotRun:
		err := dhcode.Errorf(dhcode.QueueFull, "backend server %q refused the request with status %d", id, in.Status)
		return dhcode.WithRan(err, dhcode.NotRun)
	case !in.Sealed:
		return failed(dhcode.RanUnknown, "backend server %q answers with status %d without its signature", id, in.Status)
	case in.Status >= http.StatusInternalServerError:
		body, err := readPlain(in.Body, in.Length, &f.router.AnswerMemory)
		if errors.Is(err, errEndless) {
			return f.endless(err)
		}
		switch {
		case err == nil:
			f.keepFailure(&kept{status: in.Status, header: in.Header, body: body})
		case errors.Is(err, errNoMemory):
			body.release() // the failure is told without its body
		}
		f.answered = true
		return failed(dhcode.DidRun, "backend server %q failed the request with status %d", id, in.Status)
	case in.Events && in.Status == http.StatusOK:
		if err := f.escalate(in); err != nil {
			return err
		}
		return f.stream(in, watch)
	}
	body, err := readPlain(in.Body, in.Length, &f.router.AnswerMemory)
	switch {
	case errors.Is(err, errEndless):
		return f.endless(err)
	case errors.Is(err, errNoMemory):
		return f.passOn(in, body)
	case err != nil:
		return failed(dhcode.DidRun, "answer of backend server %q broke off: %v", id, err)
	}
	defer body.release()
	f.answered = true
	f.observe(f.router.Timers.Now())
	return f.write(&kept{status: in.Status, header: in.Header, body: body})
}

// passOn passes an answer on as it comes, of which a part has been read.
func (f *forward) passOn(in *Inbound, read *plainBody) error {
	defer read.release()
	f.begin(in.Status, in.Header, int(in.Length))
	if _, err := f.w.Write(read.data); err != nil {
		return f.lost(err)
	}
	rest := &io.LimitedReader{R: in.Body, N: mostBytes(in.Length) - int64(len(read.data)) + 1}
	source := &errorKeeper{Reader: rest}
	_, err := io.Copy(f.w, source)
	switch {
	case source.err != nil:
		return dhcode.WithRan(dhcode.Wrap(dhcode.StreamBroken, source.err), dhcode.DidRun)
	case err != nil:
		return f.lost(err)
	case rest.N <= 0:
		return f.endless(errEndless)
	}
	f.answered = true
	now := f.router.Timers.Now()
	f.observe(now)
	f.passed(now)
	return nil
}

// errorKeeper keeps the error of a reader, which io.Copy does not tell from
// that of its writer.
type errorKeeper struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (k *errorKeeper) Read(p []byte) (int, error) {
	n, err := k.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		k.err = err
	}
	return n, err
}

// endless returns the error of an answer without end.
func (f *forward) endless(err error) error {
	return dhcode.WithRan(dhcode.Wrap(dhcode.BackendFailed, err), dhcode.RanUnknown)
}

// write gives a whole answer to the caller.
func (f *forward) write(k *kept) error {
	f.begin(k.status, k.header, len(k.body.data))
	if _, err := f.w.Write(k.body.data); err != nil {
		return f.lost(err)
	}
	f.passed(f.router.Timers.Now())
	return nil
}

// begin writes the head of the answer; length is -1 for a stream.
func (f *forward) begin(status int, header http.Header, length int) {
	out := f.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	f.begun, f.status = true, status
	f.w.WriteHeader(status)
}

func (f *forward) lost(err error) error {
	f.gone = true
	return dhcode.WithRan(dhcode.Wrap(dhcode.Cancelled, err), dhcode.RanUnknown)
}

// stream passes events on as they come. Events that the caller has are left
// out, so that a stream that goes on elsewhere repeats none.
func (f *forward) stream(in *Inbound, watch *watchdog) error {
	events := dhevent.NewReader(in.Body)
	defer events.Release()
	flush := http.NewResponseController(f.w)
	unnumbered := 0
	// held are events without a number before the first one with a number: as
	// long as the caller has nothing, the stream can begin again elsewhere.
	var held []byte
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return f.finish(in, held, flush)
		}
		if dhcode.Of(err) == dhcode.RequestTooLarge {
			return f.endless(errEndless)
		}
		if err != nil {
			return dhcode.WithRan(dhcode.Wrap(dhcode.StreamBroken, err), dhcode.DidRun)
		}
		now := f.router.Timers.Now()
		repeated := e.HasID && f.hasLast && e.ID <= f.last
		if e.HasID && !repeated {
			unnumbered = 0
			watch.progress(now)
		} else if unnumbered += len(e.Raw); unnumbered > maxUnnumberedBytes {
			return f.endless(errEndless)
		}
		f.observe(now)
		if repeated {
			continue
		}
		if !f.begun && !e.HasID && f.route.Resumable {
			held = append(held, e.Raw...)
			continue
		}
		if !f.begun {
			f.begin(in.Status, in.Header, -1)
		}
		if len(held) > 0 {
			e.Raw, held = append(held, e.Raw...), nil
		}
		if _, err := f.w.Write(e.Raw); err != nil {
			return f.lost(err)
		}
		f.passed(now)
		if e.HasID {
			f.last, f.hasLast = e.ID, true
		}
		if !events.More() {
			if err := flush.Flush(); err != nil {
				return f.lost(err)
			}
		}
	}
}

// finish ends a stream that its backend server has ended, with the events that
// were held.
func (f *forward) finish(in *Inbound, held []byte, flush *http.ResponseController) error {
	f.answered = true
	if !f.begun {
		f.begin(in.Status, in.Header, -1)
	}
	if _, err := f.w.Write(held); err != nil {
		return f.lost(err)
	}
	if err := flush.Flush(); err != nil {
		return f.lost(err)
	}
	return nil
}

// passed notes that the caller got an event, or a whole answer that is no stream.
func (f *forward) passed(now time.Time) {
	if f.passedAt.IsZero() {
		f.firstPassed = max(now.Sub(f.received), 1)
	} else {
		f.longestPause = max(f.longestPause, now.Sub(f.passedAt))
	}
	f.passedAt = now
}

// observe counts an event for the pace of the answer.
func (f *forward) observe(now time.Time) {
	if f.events == 0 {
		f.firstAt = now
		if !f.begun {
			f.router.Metrics.Observe(dhmetric.FirstToken, f.account, f.route.Class, now.Sub(f.received))
		}
	}
	f.events++
	f.lastAt = now
}
