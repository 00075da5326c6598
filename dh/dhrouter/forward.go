package dhrouter

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhevent"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

const (
	// maxPlainBytes bounds an answer that is not a stream, since it is passed
	// on only when it is whole.
	maxPlainBytes = 8 << 20
	// unsentTries is how many backend servers that could not be reached are
	// skipped; nothing was sent to them, so they are no attempts.
	unsentTries = 3
	// minRetryAfter and spreadRetryAfter are the least time after which a
	// refused caller returns, and the random time added to it so that callers
	// do not return together. Backend servers free places within some hundred
	// milliseconds.
	minRetryAfter    = 100 * time.Millisecond
	spreadRetryAfter = 300 * time.Millisecond
	// firstPart is the part of the time for the whole answer in which its first
	// event must come, so that another backend server has time for it.
	firstPart = 0.4
	// stallPauses is how many wanted pauses a stream may be silent. After one it
	// is late, and a busy backend server goes on sooner than another one begins.
	stallPauses = 2
	// minStall is the least silence of a stream after which it goes on at
	// another backend server.
	minStall = time.Second
)

var (
	// errStalled ends an attempt whose backend server has been silent for too long.
	errStalled = errors.New("the backend server is silent")
	// errUnsure ends an attempt whose model is unsure of its answer.
	errUnsure = errors.New("the model is unsure of its answer")
)

// sureFrom is the confidence in percent from which on the answer of a smaller
// model is kept. The odds that it is right are even at about 50; a little less
// is asked for, because the largest model costs more and delays the others.
const sureFrom = 45

// rankWeight is how much sooner each lower rank keeps unsure answers.
const rankWeight = 0.25

// forward is the exchange of an HTTP request.
type forward struct {
	router   *Router
	message  *Message
	w        http.ResponseWriter
	received time.Time
	// limit is the time for the whole answer, from received.
	limit time.Duration

	route    *dhtable.Route
	account  string
	rank     int
	poolName string
	// at is the request's place in [0, 1) among the route's targets.
	at      float64
	session string
	model   string

	prefix       []uint64
	prefixTokens []int

	// tried are the backend servers that failed or refused the request, sends
	// how many got it, unsent how many could not be reached.
	tried         []string
	sends, unsent int
	mayHaveRun    bool
	// begun is set once the caller has a part of the answer, gone once it
	// takes no more.
	begun, gone bool
	status      int
	// last is the newest event that the caller has.
	last    int64
	hasLast bool
	events  int
	// firstAt and lastAt are when the first and the newest event came.
	firstAt, lastAt time.Time
	backend         *dhbackend.Backend
	answered        bool
	// failure is a backend server's own failure, passed on when no attempt succeeds.
	failure *kept
	// paid is set when the next attempt has been taken from the budget, or adds
	// nothing to the load of backend servers.
	paid bool
}

// kept is a whole answer.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// Forward answers an HTTP request: it finds the route, passes the request on
// to a backend server and the answer to w. An error means that w got no whole
// answer; begun is set when it got a part of one. Errors carry a result code
// and say whether the request ran.
func (r *Router) Forward(ctx context.Context, m *Message, w http.ResponseWriter) (begun bool, err error) {
	f := &forward{router: r, message: m, w: w, received: r.Timers.Now(), last: m.LastEvent, hasLast: m.HasLast}
	f.awaitStart(ctx)
	if err = f.admit(r.Snapshot()); err == nil {
		limited, cancel := dhtimer.WithTimeout(ctx, r.Timers, f.limit)
		err = r.deliver(limited, f, f.route.MaxAttempts+unsentTries)
		err = f.conclude(limited, err)
		cancel()
	}
	f.log(err)
	return f.begun, err
}

const (
	// startWait is how long a request waits on a VM that has just started for
	// tables and backend servers, which come within a period of announcements;
	// a refused caller would return to the same state.
	startWait = 1500 * time.Millisecond
	// startPeriod is the time after the start in which requests wait, and
	// startPoll the time between two looks.
	startPeriod = 4 * time.Second
	startPoll   = 50 * time.Millisecond
)

// awaitStart waits on a VM that has just started until it can serve the
// request, for a bounded time.
func (f *forward) awaitStart(ctx context.Context) {
	r, m := f.router, f.message
	for !f.canStart(r.Snapshot()) {
		now := r.Timers.Now()
		waited := now.Sub(f.received)
		if now.Sub(r.began()) > startPeriod || waited >= startWait || (m.Left > 0 && waited >= m.Left/2) {
			return
		}
		if dhtimer.Sleep(ctx, r.Timers, startPoll) != nil {
			return
		}
	}
}

// canStart reports whether the tables are known, and a backend server if the
// request has a route.
func (f *forward) canStart(s *Snapshot) bool {
	if s.Tables == nil {
		return false
	}
	route, ok := s.Tables.Find(f.message.Host, f.message.Path)
	return !ok || len(s.Backends.Pool(route.Target(0))) > 0
}

// admit decides on what the snapshot says whether the request may run at all.
func (f *forward) admit(s *Snapshot) error {
	m := f.message
	if s.Tables == nil {
		return f.hint(dhcode.Errorf(dhcode.NoTables, "no tables are in force yet"))
	}
	if m.ID == "" {
		return dhcode.Errorf(dhcode.RequestMalformed, "the request has no id")
	}
	hash := xxhash.Sum64String(m.ID)
	f.at = float64(hash>>11) / (1 << 53)
	f.session = m.Session
	if f.session == "" {
		f.session = m.ID
	}
	if err := f.allow(s); err != nil {
		return err
	}
	f.limit = f.route.Deadline
	if m.Left > 0 {
		f.limit = min(f.limit, m.Left)
	}
	f.router.arrivals.add(f.poolName, f.received)
	if m.AnyModel && len(f.route.Cascade) > 0 {
		f.setModel(f.route.Cascade[0])
	} else {
		f.setModel(m.Model)
	}
	return nil
}

// setModel chooses the model and computes the request's prefixes for it. The
// hash of a prefix covers the model and the parts before it, since a cached
// part serves the same model only, and only behind the same parts.
func (f *forward) setModel(model string) {
	if f.model == model && f.prefix != nil {
		return
	}
	f.model = model
	f.prefix, f.prefixTokens = f.prefix[:0], f.prefixTokens[:0]
	before, tokens := xxhash.Sum64String(model), 0
	var buffer [40]byte
	for _, p := range f.message.Prompt {
		data := strconv.AppendUint(buffer[:0], before, 16)
		data = append(data, '/')
		data = strconv.AppendUint(data, p.ID, 16)
		before, tokens = xxhash.Sum64(data), tokens+p.Tokens
		f.prefix, f.prefixTokens = append(f.prefix, before), append(f.prefixTokens, tokens)
	}
}

// allow checks route and key on a snapshot. It runs again before each attempt,
// so that a change of the tables holds for requests that have waited.
func (f *forward) allow(s *Snapshot) error {
	route, ok := s.Tables.Find(f.message.Host, f.message.Path)
	if !ok {
		return dhcode.Errorf(dhcode.RouteUnknown, "no route of host %q begins path %q", f.message.Host, f.message.Path)
	}
	account, rank := dhtable.Account{}, route.Priority
	if !route.Public {
		if err := f.checkLease(); err != nil {
			return err
		}
		if account, ok = s.Tables.AccountByKey(f.message.Key); !ok {
			return dhcode.Errorf(dhcode.UnknownKey, "the key belongs to no client account")
		}
		if account.Rank != nil {
			rank = *account.Rank
		}
	}
	f.route, f.account, f.rank = route, account.Name, rank
	f.poolName = route.Target(f.at)
	return nil
}

// checkLease refuses a key that may have been revoked without this VM knowing.
func (f *forward) checkLease() error {
	if f.router.Lease == nil || f.router.Lease.Valid() {
		return nil
	}
	return f.hint(dhcode.Errorf(dhcode.TablesLeaseLapsed, "entry VM %q cannot confirm its tables, so keys may be out of date", f.router.VM))
}

// hint adds a time to return that is spread, so that refused callers do not
// come back together. It is at most a third of the time left, which is as long
// as callers wait.
func (f *forward) hint(err error) error {
	d := minRetryAfter + time.Duration(f.router.Random()*float64(spreadRetryAfter))
	if f.limit > 0 {
		d = min(d, (f.limit-f.router.Timers.Now().Sub(f.received))/4)
	}
	return dhcode.WithRetryAfter(err, max(d, time.Millisecond))
}

func (f *forward) pool() string { return f.poolName }

// wants implements exchange.
func (f *forward) wants(s *Snapshot) (dhplacement.Request, error) {
	if err := f.allow(s); err != nil {
		return dhplacement.Request{}, err
	}
	version := dhtable.Version{Model: f.model}
	if s.Tables.Pools[f.poolName].Kind == dhtable.Service {
		version = dhtable.Version{} // plain services have no models
	}
	rollout := s.Rollouts[f.poolName]
	on := f.onTarget(rollout)
	return dhplacement.Request{
		Pool: f.poolName, Version: version, Prefix: f.prefix, PrefixTokens: f.prefixTokens,
		Shared: max(len(f.prefix)-1, 0), Lane: f.lane(), PromptTokens: f.message.PromptTokens, MaxTokens: f.message.MaxTokens, ZoneWeights: s.ZoneWeight,
		Exclude: f.tried, Credit: f.router.Credits.Available,
		Permit: func(b *dhbackend.Backend) bool {
			return rollout.Permits(b.Release, on) && (f.repeatable() || f.router.Breakers.Closed(b.ID))
		},
	}, nil
}

// onTarget reports whether the request runs on the target of a rollout. A
// session stays on its release during the trial.
func (f *forward) onTarget(rollout dhversion.Rollout) bool {
	if rollout.Share < 1 && f.message.Session != "" {
		release, ok := f.router.sessions.get(f.poolName, f.session, f.router.Timers.Now())
		if ok {
			return release == rollout.Target && rollout.Share > 0
		}
	}
	return rollout.OnTarget(f.poolName, f.session)
}

// lane returns where the request's model runs beside models of its pace.
func (f *forward) lane() dhplacement.Lane {
	switch n := len(f.route.Cascade); {
	case n < 2:
		return dhplacement.AnyLane
	case f.model == f.route.Cascade[n-1]:
		return dhplacement.LargeLane
	}
	return dhplacement.SmallLane
}

// dispatch implements exchange. Nothing must be durable before a send.
func (*forward) dispatch(context.Context) error { return nil }

// relay implements exchange.
func (f *forward) relay(ctx context.Context, p dhplacement.Placement) (time.Duration, error) {
	b := p.Backend
	if err := f.checkLease(); !f.route.Public && err != nil {
		return 0, err
	}
	start := f.router.Timers.Now()
	f.backend, f.answered, f.events = b, false, 0
	if f.message.Session != "" {
		f.router.sessions.put(f.poolName, f.session, b.Release, start)
	}
	f.logPlaced(p, start)
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	watch := &watchdog{router: f.router, pool: f.poolName, stop: stop, patience: f.stall()}
	// The head comes with the first event, for which a longer time is allowed.
	patience := min(f.route.Objective, time.Duration(float64(f.limit)*firstPart))
	watch.progress(start.Add(max(patience-f.stall(), 0)))
	watch.start()
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
	defer func() { _ = in.Body.Close() }() // the connection is given up when the answer was not read to its end
	head := f.router.Timers.Now()
	watch.progress(head)
	f.router.delays.observe(f.poolName, f.model, head.Sub(start), head)
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
// request cannot go on elsewhere: then silence is no reason to end it.
func (f *forward) stall() time.Duration {
	if !f.repeatable() || !f.route.Stream || f.sends+1 >= f.route.MaxAttempts {
		return 0
	}
	return max(stallPauses*f.route.Pause, minStall)
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
	case in.NotRun:
		err := dhcode.Errorf(dhcode.QueueFull, "backend server %q refused the request with status %d", id, in.Status)
		return dhcode.WithRan(err, dhcode.NotRun)
	case !in.Sealed:
		return failed(dhcode.RanUnknown, "backend server %q answers with status %d without its signature", id, in.Status)
	case in.Status >= http.StatusInternalServerError:
		body, err := readPlain(in.Body)
		if err == nil {
			f.failure = &kept{status: in.Status, header: in.Header, body: body}
		}
		f.answered = true
		return failed(dhcode.DidRun, "backend server %q failed the request with status %d", id, in.Status)
	case in.Events && in.Status == http.StatusOK:
		if err := f.escalate(in); err != nil {
			return err
		}
		return f.stream(in, watch)
	}
	body, err := readPlain(in.Body)
	if err != nil {
		return failed(dhcode.DidRun, "answer of backend server %q broke off: %v", id, err)
	}
	f.answered = true
	f.observe(f.router.Timers.Now())
	return f.write(&kept{status: in.Status, header: in.Header, body: body})
}

// sureFrom returns the confidence from which on an answer is kept. It falls to
// 0 as the delay of the larger model grows from half of the wanted time to all
// of it: under overload an unsure answer in time is worth more than a late one,
// and each large answer delays all others. Less urgent requests give way first.
func (f *forward) sureFrom(larger string) int {
	wanted := min(f.route.Objective, time.Duration(float64(f.limit)*firstPart))
	if wanted <= 0 {
		return sureFrom
	}
	expected := f.router.delays.expected(f.poolName, larger, f.router.Timers.Now())
	load := float64(expected) / float64(wanted) * (1 + rankWeight*float64(f.rank))
	return int(sureFrom * min(max(2*(1-load), 0), 1))
}

// escalate drops an answer of which its model is unsure, so that the route's
// largest model makes it. The caller has nothing of it yet.
func (f *forward) escalate(in *Inbound) error {
	largest := len(f.route.Cascade) - 1
	switch {
	case !f.message.AnyModel || largest < 0 || f.model == f.route.Cascade[largest] || f.begun:
		return nil
	case in.Confidence < 0 || in.Confidence >= f.sureFrom(f.route.Cascade[largest]) || f.sends+1 >= f.route.MaxAttempts:
		return nil
	case f.router.Retries.Retry(f.poolName) != nil:
		return nil // an unsure answer is better than none
	}
	f.paid = true
	f.router.Metrics.Count("escalated", f.route.Name)
	f.router.Log.Info("escalated", slog.String("request", f.message.ID), slog.String("route", f.route.Name),
		slog.String("from", f.model), slog.String("to", f.route.Cascade[largest]), slog.Int("confidence", in.Confidence))
	f.setModel(f.route.Cascade[largest])
	return errUnsure
}

// readPlain reads a whole answer.
func readPlain(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxPlainBytes+1))
	if err == nil && len(data) > maxPlainBytes {
		err = dhcode.Errorf(dhcode.RequestTooLarge, "the answer has more than %d bytes", maxPlainBytes)
	}
	return data, err
}

// write gives a whole answer to the caller.
func (f *forward) write(k *kept) error {
	f.begin(k.status, k.header, len(k.body))
	if _, err := f.w.Write(k.body); err != nil {
		return f.lost(err)
	}
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
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return f.finish(in, flush)
		}
		if err != nil {
			return dhcode.WithRan(dhcode.Wrap(dhcode.StreamBroken, err), dhcode.DidRun)
		}
		now := f.router.Timers.Now()
		watch.progress(now)
		f.observe(now)
		if e.HasID && f.hasLast && e.ID <= f.last {
			continue
		}
		if !f.begun {
			f.begin(in.Status, in.Header, -1)
		}
		if _, err := f.w.Write(e.Raw); err != nil {
			return f.lost(err)
		}
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

// finish ends a stream that its backend server has ended.
func (f *forward) finish(in *Inbound, flush *http.ResponseController) error {
	f.answered = true
	if !f.begun {
		f.begin(in.Status, in.Header, -1)
	}
	if err := flush.Flush(); err != nil {
		return f.lost(err)
	}
	return nil
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

// ended implements exchange.
func (f *forward) ended(b *dhbackend.Backend, first time.Duration, err error) (Event, bool) {
	notRun := err != nil && dhcode.RanOf(err) == dhcode.NotRun
	refused := notRun && dhcode.Of(err) == dhcode.QueueFull
	if notRun && !refused {
		f.unsent++
		f.paid = true
	} else {
		f.sends++
	}
	f.mayHaveRun = f.mayHaveRun || !notRun
	if err == nil {
		return f.event(b, first, false), true
	}
	if errors.Is(err, errUnsure) {
		return Event{}, false // the backend server did what it was asked for
	}
	f.tried = append(f.tried, b.ID)
	if f.message.AnyModel && !f.begun && len(f.route.Cascade) > 0 {
		// The smallest model answers soonest, which counts most by now.
		f.setModel(f.route.Cascade[0])
	}
	f.router.Log.Info("attempt failed", slog.String("request", f.message.ID), slog.String("backend", b.ID),
		slog.String("release", b.Release), slog.Uint64("sequence", b.Sequence), slog.Int("sends", f.sends),
		slog.Bool("begun", f.begun), slog.String("ran", dhcode.RanOf(err).String()), slog.String("error", err.Error()))
	f.router.Metrics.Count("attempt-failed", dhcode.Of(err).String())
	e := f.event(b, first, true)
	e.Unreachable = (notRun && !refused) || errors.Is(err, errStalled) || errors.Is(err, syscall.ETIMEDOUT)
	// A refusal or a caller that has gone says nothing against the backend server.
	return e, !refused && !f.gone
}

func (f *forward) event(b *dhbackend.Backend, first time.Duration, failed bool) Event {
	e := Event{
		Pool: f.poolName, Backend: b.ID, Version: dhtable.Version{Model: f.model, Name: b.Release},
		Failed: failed, FirstToken: first, Answered: f.answered, Class: f.route.Class,
	}
	if f.events > 1 {
		e.Between = f.lastAt.Sub(f.firstAt) / time.Duration(f.events-1)
	}
	return e
}

// repeatable reports whether the request may run more than once.
func (f *forward) repeatable() bool {
	return f.route.Repeatable || (f.route.Stream && f.route.Resumable)
}

// again implements exchange.
func (f *forward) again(ctx context.Context, err error) bool {
	if errors.Is(err, errUnsure) {
		return true
	}
	if ctx.Err() != nil || f.gone || f.sends >= f.route.MaxAttempts {
		return false
	}
	if f.begun && !(f.route.Stream && f.route.Resumable && f.hasLast) {
		return false
	}
	switch dhcode.Of(err) {
	case dhcode.BackendFailed, dhcode.StreamBroken, dhcode.QueueFull:
		return dhcode.RanOf(err) == dhcode.NotRun || f.repeatable()
	}
	return false
}

// spend implements exchange.
func (f *forward) spend() error {
	if f.paid {
		f.paid = false
		return nil
	}
	return f.router.Retries.Retry(f.poolName)
}

// pause implements exchange. Another backend server is tried at once.
func (*forward) pause(int, error) time.Duration { return 0 }

// conclude turns the error of the last attempt into what the caller is told.
func (f *forward) conclude(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if f.failure != nil && !f.begun && !f.gone && ctx.Err() == nil {
		return f.write(f.failure)
	}
	if f.mayHaveRun && dhcode.RanOf(err) == dhcode.NotRun {
		err = dhcode.WithRan(dhcode.Wrap(dhcode.BackendFailed, err), dhcode.RanUnknown)
	}
	if ctx.Err() != nil {
		err = withCause(ctx, err)
	}
	if dhcode.RanOf(err) == dhcode.NotRun && dhcode.RetryAfterOf(err) == 0 {
		err = f.hint(err)
	}
	return err
}

// logPlaced writes what decided where the request is sent. Age is that of the
// load; sequence is the backend server's announcement that is known.
func (f *forward) logPlaced(p dhplacement.Placement, now time.Time) {
	b := p.Backend
	f.router.Log.LogAttrs(context.Background(), slog.LevelInfo, "placed", slog.String("request", f.message.ID),
		slog.String("session", f.message.Session), slog.String("route", f.route.Name),
		slog.Uint64("tables", f.router.Snapshot().Tables.Revision),
		slog.String("backend", b.ID), slog.String("zone", b.Zone), slog.String("release", b.Release), slog.String("state", b.State.String()),
		slog.Uint64("sequence", b.Sequence), slog.Duration("age", now.Sub(b.Seen)+b.ReportAge), slog.Float64("load", math.Round(p.Load*10)/10),
		slog.Int("cached-tokens", p.CachedTokens), slog.String("prefix", f.sharedPrefix()), slog.String("model", f.model), slog.Int("rank", f.rank),
		slog.Duration("left", f.limit-now.Sub(f.received)), slog.Int("send", f.sends+1))
}

// sharedPrefix names the longest prefix that other requests may share.
func (f *forward) sharedPrefix() string {
	if n := len(f.prefix); n > 1 {
		return strconv.FormatUint(f.prefix[n-2], 16)
	}
	return ""
}

// log writes the line that ends the request.
func (f *forward) log(err error) {
	now := f.router.Timers.Now()
	took := now.Sub(f.received)
	name := ""
	if f.route != nil {
		name = f.route.Name
	}
	attrs := []slog.Attr{
		slog.String("request", f.message.ID), slog.String("account", f.account), slog.String("route", name),
		slog.String("pool", f.poolName), slog.Int("sends", f.sends), slog.Duration("took", took),
	}
	if f.backend != nil {
		attrs = append(attrs, slog.String("backend", f.backend.ID), slog.String("release", f.backend.Release))
	}
	if err == nil {
		f.router.Metrics.Observe(dhmetric.WholeAnswer, f.account, f.route.Class, took)
		f.router.Metrics.Count("answered", name)
		attrs = append(attrs, slog.Int("status", f.status), slog.String("model", f.model), slog.Int("events", f.events))
		f.router.Log.LogAttrs(context.Background(), slog.LevelInfo, "answered", attrs...)
		return
	}
	code := dhcode.Of(err)
	f.router.Metrics.Count("refused", code.String())
	attrs = append(attrs, slog.String("code", code.String()), slog.String("ran", dhcode.RanOf(err).String()),
		slog.Bool("begun", f.begun), slog.Duration("retry-after", dhcode.RetryAfterOf(err)), slog.String("error", err.Error()))
	f.router.Log.LogAttrs(context.Background(), slog.LevelWarn, "refused", attrs...)
}

// watchdog ends an attempt whose backend server has been silent for too long,
// once the retry budget has paid for another one. Its timer runs once per patience, not once per event.
type watchdog struct {
	router   *Router
	pool     string
	stop     context.CancelCauseFunc
	patience time.Duration
	seen     atomic.Int64
	ended    atomic.Bool
}

func (w *watchdog) progress(now time.Time) { w.seen.Store(now.UnixNano()) }

func (w *watchdog) start() {
	if w.patience > 0 {
		w.router.Timers.After(w.patience, w.check)
	}
}

func (w *watchdog) check(now time.Time) {
	if w.ended.Load() {
		return
	}
	silent := time.Duration(now.UnixNano() - w.seen.Load())
	if silent < w.patience {
		w.router.Timers.After(w.patience-silent, w.check)
		return
	}
	if w.router.Retries.Retry(w.pool) != nil {
		// Without another attempt the answer may still come.
		w.router.Timers.After(w.patience, w.check)
		return
	}
	w.stop(errStalled)
}

func (w *watchdog) end() { w.ended.Store(true) }
