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
	"dandelionhoist.example/dh/dhtable"
)

// bufferedAnswer is a complete answer in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *bufferedBody
}

// relay implements exchange.
func (f *forward) relay(ctx context.Context, p dhplacement.Placement) (time.Duration, error) {
	b := p.Backend
	start := f.router.Timers.Now()
	f.backend, f.answered, f.events, f.connectionLost, f.sentAt, f.connection = b, false, 0, false, start, Connection{}
	if f.message.Session != "" {
		pool := f.poolName
		f.router.sessions.begin(pool, f.session, b.Release, start)
		defer func() { f.router.sessions.end(pool, f.session, f.router.Timers.Now()) }()
	}
	f.logPlaced(p, start)
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watch := &watchdog{router: f.router, pool: f.poolName, cancel: stop, timeout: f.stallTimeout()}
	// The backend server sends the head together with the first event.
	watch.start(start, f.firstEventTimeout(p))
	defer watch.end()
	out := &Outbound{
		Message: f.message, Backend: b, Account: f.account, TimeLeft: f.limit - start.Sub(f.received),
		Model: f.model, Rank: f.backendRank(), LastEvent: f.lastID, HasLastEvent: f.hasLastID,
	}
	in, err := f.router.Transport.Send(ctx, out)
	f.connection = out.Connection
	if err != nil {
		now := f.router.Timers.Now()
		if dhcode.RanOf(err) != dhcode.NotRun {
			f.recordSend(b)
			f.router.delays.observe(f.poolName, f.model, now.Sub(start), now)
			f.recordLost(err)
		}
		return 0, f.attemptError(ctx, err)
	}
	f.recordSend(b)
	if in.hasValidStatus() && f.answeredBy(in) {
		f.recordHoldOff(in, b)
		f.recordRateLimit(in, b, start)
		f.recordBrittle(in, b)
	}
	defer func() { _ = in.Body.Close() }() // closes the connection if the answer was not read to its end
	f.router.Placer.FirstToken(p)
	head := f.router.Timers.Now()
	watch.progress(head)
	f.router.delays.observe(f.poolName, f.model, head.Sub(start), head)
	if in.hasValidStatus() && in.Sealed && in.Status < http.StatusBadRequest && in.RequestID == f.message.ID {
		f.reportSpeed(Speed{FirstToken: max(head.Sub(start), 1)})
	}
	if f.route.Stream && in.Events {
		f.router.latencyFits.observe(f.poolName, f.model, p.PrefillAhead, head.Sub(start))
	}
	if err := f.handleAnswer(in, watch); err != nil {
		return f.timeToFirstEvent(start), f.attemptError(ctx, err)
	}
	return f.timeToFirstEvent(start), nil
}

// maxRank is the lowest rank of a client account or a route that backend servers tell
// apart; their scale ends at 9.
const maxRank = 2

// backendRank returns the rank by which backend servers order the request: that of its
// client account and, among those of the same rank, that of its route. With the rank of
// the account alone, short urgent prompts waited behind long ones of less urgent routes.
func (f *forward) backendRank() int {
	return (maxRank+1)*min(f.rank, maxRank) + min(f.route.Priority, maxRank)
}

// timeToFirstEvent returns the time from start to the first event, or to the end
// of an answer without events; 0 if there was none.
func (f *forward) timeToFirstEvent(start time.Time) time.Duration {
	if f.events == 0 {
		return 0
	}
	return max(f.firstEventAt.Sub(start), 1)
}

// stallTimeout returns the silence after which an attempt is abandoned, or 0 if
// the request cannot be continued at another backend server: then ending it for
// silence would only fail it. An answer that is not a stream shows no progress
// until it is complete.
func (f *forward) stallTimeout() time.Duration {
	switch {
	case !f.repeatable() || f.sends+1 >= f.route.MaxAttempts:
		return 0
	case f.route.Stream:
		return max(stallPauseFactor*f.route.MaxEventGap, minStallTimeout)
	case f.route.Objective <= 0:
		return 0
	}
	return max(stallObjectiveFactor*f.route.Objective, minStallTimeout)
}

// firstEventTimeout returns the silence before the first event after which an
// attempt is abandoned: firstEventFactor times the expected time plus
// minStallTimeout, up to the limit that applies when no estimate is known.
func (f *forward) firstEventTimeout(p dhplacement.Placement) time.Duration {
	most := max(f.firstEventTarget(), f.stallTimeout())
	if expected := f.router.latencyFits.expected(f.poolName, f.model, p.PrefillAhead); f.route.Stream && expected > 0 {
		return min(firstEventFactor*expected+minStallTimeout, most)
	}
	return most
}

// firstEventTarget returns the target time from the request to its first event:
// the route's objective, if set, limited to a fraction of the time for the
// complete answer.
func (f *forward) firstEventTarget() time.Duration {
	most := time.Duration(float64(f.limit) * firstEventFraction)
	if f.route.Objective <= 0 {
		return most
	}
	return min(f.route.Objective, most)
}

// attemptError replaces the error of an attempt that the watchdog ended.
func (f *forward) attemptError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		f.connectionLost = false
		f.retryPaid = true // taken by the watchdog
		return dhcode.WithRan(dhcode.Wrap(dhcode.StreamBroken, errStalled), dhcode.RanUnknown)
	}
	return err
}

// answeredBy reports whether an answer belongs to the request. A refusal may have no id,
// but only on a new connection it cannot be that of an earlier request.
func (f *forward) answeredBy(in *Inbound) bool {
	return in.RequestID == f.message.ID || (in.RequestID == "" && in.NotRun && !in.KeptConnection)
}

// maxStatus is the highest status of an answer.
const maxStatus = 599

// hasValidStatus reports whether the status may be that of a final answer. Whether the
// request ran is not known from any other status.
func (in *Inbound) hasValidStatus() bool {
	return in.Status >= http.StatusOK && in.Status <= maxStatus
}

// handleAnswer relays an answer to the caller, or returns why it cannot be used.
func (f *forward) handleAnswer(in *Inbound, watch *watchdog) error {
	failed := func(ran dhcode.Ran, format string, args ...any) error {
		return dhcode.WithRan(dhcode.Errorf(dhcode.BackendFailed, format, args...), ran)
	}
	id := f.backend.ID
	f.answerStatus = in.Status
	switch {
	case !f.answeredBy(in):
		return failed(dhcode.RanUnknown, "backend server %q answers request %q instead", id, in.RequestID)
	case !in.hasValidStatus():
		return failed(dhcode.RanUnknown, "backend server %q answers with status %d, which is not valid", id, in.Status)
	case in.AddressReused:
		return dhcode.WithRan(dhcode.Wrap(dhcode.BackendFailed, errMoved), dhcode.NotRun)
	case in.NotRun:
		err := dhcode.Errorf(dhcode.QueueFull, "backend server %q refused the request with status %d", id, in.Status)
		return dhcode.WithRan(err, dhcode.NotRun)
	case !in.Sealed:
		return failed(dhcode.RanUnknown, "backend server %q answers with status %d without its signature", id, in.Status)
	case f.begun && (!in.Events || in.Status != http.StatusOK):
		return failed(dhcode.DidRun, "backend server %q answers with status %d instead of continuing the stream", id, in.Status)
	case in.Status >= http.StatusInternalServerError:
		body, err := readAnswer(in.Body, in.Length, &f.router.AnswerMemory)
		if errors.Is(err, ErrEndless) {
			return f.endlessError(err)
		}
		switch {
		case err == nil:
			f.setFailure(&bufferedAnswer{status: in.Status, header: in.Header, body: body})
		case errors.Is(err, errNoMemory):
			body.release() // the failure is reported without its body
		}
		f.answered = true
		return failed(dhcode.DidRun, "backend server %q failed the request with status %d", id, in.Status)
	case in.Events && in.Status == http.StatusOK:
		if err := f.escalate(in); err != nil {
			return err
		}
		return f.stream(in, watch)
	}
	body, err := readAnswer(in.Body, in.Length, &f.router.AnswerMemory)
	switch {
	case errors.Is(err, ErrEndless):
		return f.endlessError(err)
	case errors.Is(err, errNoMemory):
		return f.passThrough(in, body, watch)
	case err != nil:
		f.recordLost(err)
		return failed(dhcode.DidRun, "answer of backend server %q broke off: %v", id, err)
	}
	defer body.release()
	f.answered = true
	f.recordEvent(f.router.Timers.Now())
	return f.writeAnswer(&bufferedAnswer{status: in.Status, header: in.Header, body: body})
}

// passThrough relays an answer without buffering the rest of it. read is the
// part that has already been read.
func (f *forward) passThrough(in *Inbound, read *bufferedBody, watch *watchdog) error {
	defer read.release()
	ahead := f.readAhead(in.Body, watch)
	defer ahead.release()
	f.writeHead(in.Status, in.Header, int(in.Length))
	w := aheadWriter{f, ahead}
	if _, err := w.Write(read.data); err != nil {
		return f.callerLost(err)
	}
	rest := &io.LimitedReader{R: ahead, N: maxAnswerBytes(in.Length) - int64(len(read.data)) + 1}
	source := &readErrorRecorder{Reader: rest}
	_, err := io.Copy(w, source)
	switch {
	case source.err != nil:
		f.recordLost(source.err)
		return dhcode.WithRan(dhcode.Wrap(dhcode.StreamBroken, source.err), dhcode.DidRun)
	case err != nil:
		return f.callerLost(err)
	case rest.N <= 0:
		return f.endlessError(ErrEndless)
	}
	f.answered = true
	now := f.router.Timers.Now()
	f.recordEvent(now)
	f.recordWrite(now)
	return nil
}

// aheadWriter writes to the caller while an answer may be read ahead.
type aheadWriter struct {
	forward *forward
	ahead   *readAhead
}

// Write implements io.Writer.
func (w aheadWriter) Write(p []byte) (n int, err error) {
	err = w.ahead.write(w.forward.router.Timers.Now(), func() error {
		n, err = w.forward.w.Write(p)
		return err
	})
	return n, err
}

// readErrorRecorder records the error of a reader, since io.Copy does not tell
// read errors from write errors.
type readErrorRecorder struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (k *readErrorRecorder) Read(p []byte) (int, error) {
	n, err := k.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		k.err = err
	}
	return n, err
}

// endlessError returns the error of an answer that exceeds its limits.
func (f *forward) endlessError(err error) error {
	return dhcode.WithRan(dhcode.Wrap(dhcode.BackendFailed, err), dhcode.RanUnknown)
}

// writeAnswer writes a complete answer to the caller.
func (f *forward) writeAnswer(k *bufferedAnswer) error {
	f.writeHead(k.status, k.header, len(k.body.data))
	if _, err := f.w.Write(k.body.data); err != nil {
		return f.callerLost(err)
	}
	f.recordWrite(f.router.Timers.Now())
	return nil
}

// writeHead writes the head of the answer; length is -1 for a stream.
func (f *forward) writeHead(status int, header http.Header, length int) {
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

// callerLost records that writing to the caller has failed and returns the error
// of the request.
func (f *forward) callerLost(err error) error {
	f.callerGone = true
	return dhcode.WithRan(dhcode.Wrap(dhcode.Cancelled, err), dhcode.RanUnknown)
}

// stream relays events as they arrive. It omits events that the caller has
// already received, so that a stream resumed at another backend server repeats
// none.
func (f *forward) stream(in *Inbound, watch *watchdog) error {
	ahead := f.readAhead(in.Body, watch)
	defer ahead.release()
	events := dhevent.NewReader(ahead)
	defer events.Release()
	flush := http.NewResponseController(f.w)
	unnumbered, resumed := 0, f.begun
	// held holds events without a number that precede the first numbered one. As
	// long as nothing has been written to the caller, the stream can be restarted
	// at another backend server.
	var held []byte
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if f.events == 0 && (resumed || (!f.hasLastID && f.repeatable())) {
				return dhcode.WithRan(dhcode.Wrap(dhcode.StreamBroken, errNoEvents), dhcode.DidRun)
			}
			return f.finishStream(in, held, flush)
		}
		if dhcode.Of(err) == dhcode.RequestTooLarge {
			return f.endlessError(ErrEndless)
		}
		if err != nil {
			f.recordLost(err)
			return dhcode.WithRan(dhcode.Wrap(dhcode.StreamBroken, err), dhcode.DidRun)
		}
		now := f.router.Timers.Now()
		repeated := e.HasID && f.hasLastID && e.ID <= f.lastID
		if e.HasID && !repeated {
			unnumbered = 0
			watch.progress(now)
		} else if unnumbered += len(e.Raw); unnumbered > maxUnnumberedBytes {
			return f.endlessError(ErrEndless)
		}
		if resumed && e.HasID && !repeated && f.skips(e.ID) {
			return dhcode.WithRan(dhcode.Errorf(dhcode.StreamBroken, "backend server %q continues with event %d after event %d", f.backend.ID, e.ID, f.lastID), dhcode.DidRun)
		}
		f.recordEvent(now)
		if repeated {
			continue
		}
		if !f.begun && !e.HasID && (f.route.Resumable || f.repeatable()) {
			held = append(held, e.Raw...)
			continue
		}
		if !f.begun {
			f.writeHead(in.Status, in.Header, -1)
		}
		if len(held) > 0 {
			e.Raw, held = append(held, e.Raw...), nil
		}
		if err := ahead.write(now, func() error { _, err := f.w.Write(e.Raw); return err }); err != nil {
			return f.callerLost(err)
		}
		f.recordWrite(now)
		if e.HasID {
			f.recordID(e.ID)
			resumed = false
		}
		if !events.More() {
			if err := ahead.write(now, flush.Flush); err != nil {
				return f.callerLost(err)
			}
		}
	}
}

// idSteps holds how the numbers of the events that the caller has received increase.
type idSteps struct {
	longest int64
	count   int
}

// minIDSteps is the number of steps after which a longer one means that events are
// missing.
const minIDSteps = 2

// recordID records the number of an event that the caller has received.
func (f *forward) recordID(id int64) {
	if f.hasLastID {
		f.steps.longest = max(f.steps.longest, id-f.lastID)
		f.steps.count++
	}
	f.lastID, f.hasLastID = id, true
}

// skips reports whether events are missing before the first one of a continued
// stream.
func (f *forward) skips(id int64) bool {
	return f.steps.count >= minIDSteps && id-f.lastID > f.steps.longest
}

// finishStream completes a stream that its backend server has ended: it writes
// the held events.
func (f *forward) finishStream(in *Inbound, held []byte, flush *http.ResponseController) error {
	f.answered = true
	if f.events > 1 && f.events < pacedEvents {
		f.reportPace()
	}
	if !f.begun {
		f.writeHead(in.Status, in.Header, -1)
	}
	if _, err := f.w.Write(held); err != nil {
		return f.callerLost(err)
	}
	if err := flush.Flush(); err != nil {
		return f.callerLost(err)
	}
	return nil
}

// recordWrite records that an event, or a complete answer that is not a stream,
// has been written to the caller.
func (f *forward) recordWrite(now time.Time) {
	if f.lastWriteAt.IsZero() {
		f.firstWriteDelay = max(now.Sub(f.received), 1)
	} else {
		f.longestPause = max(f.longestPause, now.Sub(f.lastWriteAt))
	}
	f.lastWriteAt = now
}

// recordEvent records the arrival of an event and, for the first one, the time
// to the first token.
func (f *forward) recordEvent(now time.Time) {
	if f.events == 0 {
		f.firstEventAt = now
		if !f.begun {
			f.router.Metrics.Observe(dhmetric.FirstToken, f.account, f.route.Class, now.Sub(f.received))
		}
	}
	f.events++
	f.lastEventAt = now
	if f.events == 2 && len(f.parts) > 0 {
		f.router.Quarantine.RecordProgress(f.causes())
	}
	if f.events == pacedEvents {
		f.reportPace()
	}
}

// pacedEvents is the number of events after which the pace of a stream is
// reported. Shorter streams are reported at their end.
const pacedEvents = 8

// reportPace reports the mean time between the events so far.
func (f *forward) reportPace() {
	f.reportSpeed(Speed{MeanEventInterval: max(f.lastEventAt.Sub(f.firstEventAt)/time.Duration(f.events-1), 1)})
}

func (f *forward) reportSpeed(s Speed) {
	if f.router.ReportSpeed == nil {
		return
	}
	s.Pool, s.Class, s.Version = f.poolName, f.route.Class, dhtable.Version{Model: f.model, Name: f.backend.Release}
	f.router.ReportSpeed(s)
}
