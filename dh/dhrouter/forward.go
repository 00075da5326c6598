package dhrouter

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhplacement"
	"dandelionhoist.example/dh/dhquarantine"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

const (
	// maxUnsentAttempts is how many backend servers that are unreachable or no
	// longer at their address a request may skip; they do not count as attempts.
	// Crashed backend servers refuse connections within milliseconds and look idle,
	// so placement prefers them; with a limit of 3, requests failed although other
	// backend servers had capacity.
	maxUnsentAttempts = 12
	// minRetryAfter is the shortest time after which a refused caller may retry,
	// and retryAfterJitter the largest random time added to it, so that callers do
	// not all retry at once. Backend servers free slots within a few hundred
	// milliseconds.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 300 * time.Millisecond
	// firstEventFraction is the fraction of the time for the complete answer within
	// which the first event must arrive, so that another backend server still has
	// time to answer.
	firstEventFraction = 0.4
	// stallPauseFactor is how many times the route's pause target a stream may be
	// silent. After one pause the next event is late, but a busy backend server
	// usually continues sooner than another one starts.
	stallPauseFactor = 2
	// stallObjectiveFactor is how many times the route's objective an answer that
	// is not a stream may take before another backend server is tried.
	stallObjectiveFactor = 3
	// firstEventFactor is how many times its expected time a first event may take
	// before another backend server is tried.
	firstEventFactor = 4
	// minStallTimeout is the shortest silence after which a request is moved to
	// another backend server.
	minStallTimeout = time.Second
)

var (
	// errStalled ends an attempt whose backend server made no progress within the
	// timeout.
	errStalled = errors.New("the backend server is silent")
	// errMoved ends an attempt at an address that now belongs to another backend
	// server.
	errMoved = errors.New("another backend server is at the address")
	// errNoEvents ends an attempt whose stream ended before its first event.
	errNoEvents = errors.New("the stream ended without an event")
	// errNewTables ends an attempt before the send because other tables came into force
	// after the placement.
	errNewTables = errors.New("newer tables are in force")
	// errLowConfidence ends an attempt whose answer is dropped because of the
	// model's low confidence.
	errLowConfidence = errors.New("the model is unsure of its answer")
)

// forward is the exchange of an HTTP request.
type forward struct {
	router   *Router
	message  *Message
	w        http.ResponseWriter
	received time.Time
	// limit is the time for the complete answer, counted from received.
	limit time.Duration

	// tables are those by which the request was last judged.
	tables   *dhtable.Tables
	route    *dhtable.Route
	account  string
	rank     int
	poolName string
	// targetPoint is a hash of the request id in [0, 1) that selects one of the
	// route's targets.
	targetPoint float64
	session     string
	model       string

	prefix       []uint64
	prefixTokens []int

	// excluded holds the ids of the backend servers that failed, refused the
	// request or could not be reached. sends counts the attempts that reached
	// their backend server.
	excluded   []string
	sends      int
	mayHaveRun bool
	// begun is set once the caller has received a part of the answer, callerGone
	// once writing to the caller has failed.
	begun, callerGone bool
	status            int
	// lastID is the number of the newest event that the caller has received.
	lastID    int64
	hasLastID bool
	steps     idSteps
	events    int
	// sentAt is when the attempt began, firstEventAt and lastEventAt are when its first
	// and its newest event arrived.
	sentAt, firstEventAt, lastEventAt time.Time
	// lastWriteAt is when the newest event was written to the caller,
	// firstWriteDelay the time from the request to the first write and longestPause
	// the longest time between two writes.
	lastWriteAt                   time.Time
	firstWriteDelay, longestPause time.Duration
	backend                       *dhbackend.Backend
	answered                      bool
	// connection is the one of the newest attempt; its number is 0 if there was none.
	connection Connection
	// escalatedFrom is the newest answer that was dropped in favor of a larger
	// model's.
	escalatedFrom *droppedAnswer
	// failedBefore is set once a backend server has answered with a failure.
	failedBefore bool
	// failure is the newest error answer of a backend server itself. It is relayed
	// if no attempt succeeds.
	failure *bufferedAnswer
	suspicion
	crashSuspicion
	// retryPaid is set if the next attempt has already been taken from the retry
	// budget, or adds no load to backend servers.
	retryPaid bool
}

// Forward answers an HTTP request: it finds the route, forwards the request to a
// backend server and relays the answer to w. An error means that w did not
// receive a complete answer; begun is set if it received a part of one. Errors
// carry a result code and state whether the request ran.
func (r *Router) Forward(ctx context.Context, m *Message, w http.ResponseWriter) (begun bool, err error) {
	f := &forward{router: r, message: m, w: w, received: r.Timers.Now(), lastID: m.LastEvent, hasLastID: m.HasLastEvent}
	f.waitForStartup(ctx)
	if err = f.admit(r.Snapshot()); err == nil {
		limited, cancel := dhtimer.WithTimeout(ctx, r.Timers, f.limit)
		var endTrial func()
		var leave func(error)
		if leave, err = f.enterPool(limited); err == nil {
			if endTrial, err = f.awaitTrial(limited); err == nil {
				err = r.deliver(limited, f, f.route.MaxAttempts+maxUnsentAttempts)
				endTrial()
			}
			leave(err)
		}
		err = f.conclude(limited, err)
		cancel()
	}
	f.reportSuspicion()
	f.setFailure(nil)
	f.log(err)
	return f.begun, err
}

// admit checks the request against the snapshot and sets its route, deadline and
// model.
func (f *forward) admit(s *Snapshot) error {
	m := f.message
	if s.Tables == nil {
		return f.withRetryAfter(dhcode.Errorf(dhcode.NoTables, "no tables are in force yet"))
	}
	if m.ID == "" {
		return dhcode.Errorf(dhcode.RequestMalformed, "the request has no id")
	}
	hash := xxhash.Sum64String(m.ID)
	f.targetPoint = float64(hash>>11) / (1 << 53)
	f.session = m.Session
	if f.session == "" {
		f.session = m.ID
	}
	if err := f.authorize(s); err != nil {
		return err
	}
	f.limit = f.route.Deadline
	if m.TimeLeft > 0 {
		f.limit = min(f.limit, m.TimeLeft)
	}
	if end := f.router.stopsAt.Load(); end != nil && f.received.Add(f.limit).After(*end) {
		return f.withRetryAfter(dhcode.Errorf(dhcode.Leaving, "entry VM %q stops before the request may end", f.router.VM))
	}
	f.router.arrivals.add(f.poolName, f.received)
	f.setParts()
	if m.AnyModel && len(f.route.Cascade) > 0 {
		f.setModel(f.route.Cascade[0])
	} else {
		f.setModel(m.Model)
	}
	return nil
}

// setModel sets the model and computes the request's prefix hashes for it. The
// hash of a prefix covers the model and all earlier parts, since a cached part
// can be reused only by the same model and after the same parts.
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

// authorize checks the route and the key against a snapshot. It is repeated
// before each attempt, so that a change of the tables applies to requests that
// have been waiting.
func (f *forward) authorize(s *Snapshot) error {
	f.tables = s.Tables
	route, ok := s.Tables.FindRoute(f.message.Host, f.message.Path)
	if !ok {
		return f.denial(s, dhcode.Errorf(dhcode.RouteUnknown, "no route of host %q begins path %q", f.message.Host, f.message.Path))
	}
	account, rank := dhtable.Account{}, route.Priority
	if !route.Public {
		if err := f.checkLease(s); err != nil {
			return err
		}
		if account, ok = s.Tables.AccountByKey(f.message.Key); !ok {
			return f.denial(s, dhcode.Errorf(dhcode.UnknownKey, "the key belongs to no client account"))
		}
		if account.Rank != nil {
			rank = *account.Rank
		}
	}
	f.route, f.account, f.rank = route, account.Name, rank
	f.poolName = route.Target(f.targetPoint)
	return nil
}

// checkLease refuses the request if its key may have been revoked without the
// knowledge of a snapshot.
func (f *forward) checkLease(s *Snapshot) error {
	if s.LeaseValid() {
		return nil
	}
	return f.leaseLapsed("keys may be out of date")
}

func (f *forward) leaseLapsed(reason string) error {
	return f.withRetryAfter(dhcode.Errorf(dhcode.TablesLeaseLapsed, "entry VM %q cannot confirm its tables, so %s", f.router.VM, reason))
}

// maxDenialAge is how old the tables may be by which a request is denied for good.
// Configurations promise to be in force after a longer time.
const maxDenialAge = 1500 * time.Millisecond

// denial returns the error of a request that the tables of a snapshot do not allow, or one
// that lets the caller return if newer tables may allow it.
func (f *forward) denial(s *Snapshot, err error) error {
	if s.tablesFresh() {
		return err
	}
	return f.leaseLapsed("newer ones may allow the request")
}

// withRetryAfter adds random jitter to the retry-after hint of err, or to
// minRetryAfter if that is longer, so that refused callers do not all return at
// once. The result is at most a quarter of the time left, since callers wait for
// at most a third of it.
func (f *forward) withRetryAfter(err error) error {
	d := max(minRetryAfter, dhcode.RetryAfterOf(err)) + time.Duration(f.router.Random()*float64(retryAfterJitter))
	if f.limit > 0 {
		d = min(d, (f.limit-f.router.Timers.Now().Sub(f.received))/4)
	}
	return dhcode.WithRetryAfter(err, max(d, time.Millisecond))
}

func (f *forward) pool() string { return f.poolName }

// placementRequest implements exchange.
func (f *forward) placementRequest(s *Snapshot) (dhplacement.Request, error) {
	if err := f.authorize(s); err != nil {
		return dhplacement.Request{}, err
	}
	if err := f.checkQuarantine(); err != nil {
		return dhplacement.Request{}, err
	}
	return f.placement(s), nil
}

// placement returns what an attempt requires of a backend server.
func (f *forward) placement(s *Snapshot) dhplacement.Request {
	version := dhtable.Version{Model: f.model}
	if s.Tables.Pools[f.poolName].Kind == dhtable.Service {
		version = dhtable.Version{} // plain services have no models
	}
	rollout := s.Rollouts[f.poolName]
	on := f.onRolloutTarget(rollout) && !f.leftTarget
	return dhplacement.Request{
		Pool: f.poolName, Version: version, Prefix: f.prefix, PrefixTokens: f.prefixTokens,
		Shared: max(len(f.prefix)-1, 0), Lane: f.lane(), RelativePrefillTime: f.relativePace(s.Tables.Pools[f.poolName]), PromptTokens: f.message.PromptTokens, MaxTokens: f.message.MaxTokens, ZoneWeights: s.ZoneWeight,
		Exclude: f.excluded, Credit: f.router.Credits.Available, Bytes: len(f.message.Body), Target: f.targetLeft(),
		Permit: func(b *dhbackend.Backend) bool {
			return rollout.Permits(b.Release, on) && (f.repeatable() || f.router.Breakers.Closed(breakerOf(b)))
		},
	}
}

// targetLeft returns the time left until the route's objective, or 0 if it has none or the time is over.
func (f *forward) targetLeft() time.Duration {
	return max(f.route.Objective-f.router.Timers.Now().Sub(f.received), 0)
}

// onRolloutTarget reports whether the request runs on the target of a rollout. A
// session stays on its release during the trial, whichever VM has served it.
func (f *forward) onRolloutTarget(rollout dhversion.Rollout) bool {
	if rollout.Share < 1 && f.message.Session != "" {
		if rollout.Keeps(f.poolName, f.session) {
			return false
		}
		release, ok := f.router.sessions.get(f.poolName, f.session, f.router.Timers.Now())
		if ok {
			return release == rollout.Target && rollout.Share > 0
		}
	}
	return rollout.OnTarget(f.poolName, f.session)
}

// relativePace returns the prefill time per token of the request's model
// relative to the slowest model of the route. It is estimated by the ratio of
// their costs.
func (f *forward) relativePace(p dhtable.Pool) float64 {
	most := 0.0
	for _, name := range f.route.Cascade {
		most = max(most, p.Models[name].CostPer1000Tokens)
	}
	if cost := p.Models[f.model].CostPer1000Tokens; cost > 0 && cost < most {
		return cost / most
	}
	return 1
}

// lane returns the placement lane of the request's model, which separates the
// largest model of a cascade from the faster ones.
func (f *forward) lane() dhplacement.Lane {
	switch n := len(f.route.Cascade); {
	case n < 2:
		return dhplacement.AnyLane
	case f.model == f.route.Cascade[n-1]:
		return dhplacement.LargeLane
	}
	return dhplacement.SmallLane
}

// dispatch implements exchange. It checks the tables and the lease again, since the
// key may have been revoked after the request was placed, for example while the VM
// was frozen.
func (f *forward) dispatch(context.Context) error {
	s := f.router.Snapshot()
	if s.Tables != f.tables {
		return errNewTables
	}
	if f.route.Public {
		return nil
	}
	return f.checkLease(s)
}

// finishAttempt implements exchange.
func (f *forward) finishAttempt(b *dhbackend.Backend, first time.Duration, err error) (Event, bool) {
	notRun := err != nil && dhcode.RanOf(err) == dhcode.NotRun
	refused := notRun && dhcode.Of(err) == dhcode.QueueFull
	switch {
	case errors.Is(err, errMoved):
		// It does not count as an attempt, but the backend server at the address
		// received the request, so the next attempt is charged to the retry budget.
	case notRun && !refused:
		f.retryPaid = true
	default:
		f.sends++
	}
	f.mayHaveRun = f.mayHaveRun || !notRun
	if !notRun {
		f.recordEnd(b)
	}
	if err == nil {
		f.reportSuspicion()
		return f.event(b, first, false), true
	}
	if errors.Is(err, errLowConfidence) {
		return Event{}, false // the answer is valid, so the backend server did not fail
	}
	if errors.Is(err, ErrStaleConnection) {
		f.router.Metrics.Count("attempt-failed", "stale-connection")
		return Event{}, false // another connection to the same backend server may work
	}
	e := f.event(b, first, true)
	e.OutOfTime = (f.answered && f.answerStatus == http.StatusGatewayTimeout) || errors.Is(err, context.DeadlineExceeded)
	e.BrokeOff = !f.answered && !notRun && !e.OutOfTime
	f.suspect(b, &e)
	f.failedBefore = f.failedBefore || f.answered
	e.Unreachable = (notRun && !refused) || errors.Is(err, errStalled) || errors.Is(err, ErrEndless) || errors.Is(err, syscall.ETIMEDOUT)
	f.excluded = append(f.excluded, b.ID)
	if f.message.AnyModel && !f.begun && len(f.route.Cascade) > 0 {
		// Little time may be left, and the smallest model answers soonest.
		f.setModel(f.route.Cascade[0])
	}
	f.router.Log.Info("attempt failed", slog.String("request", f.message.ID), slog.String("backend", b.ID),
		slog.String("release", b.Release), slog.Uint64("sequence", b.Sequence), slog.Int("sends", f.sends), slog.Any("connection", f.connection),
		slog.Bool("begun", f.begun), slog.String("ran", dhcode.RanOf(err).String()), slog.Bool("connection-lost", f.connectionLost),
		slog.Int("events", f.events), slog.Duration("ran-for", f.router.Timers.Now().Sub(f.sentAt)),
		slog.String("fingerprint", dhquarantine.FormatID(f.fingerprint())), slog.String("error", err.Error()))
	f.router.Metrics.Count("attempt-failed", dhcode.Of(err).String())
	// A refusal, an answer to another request, or a caller that has disconnected, is not a
	// failure of the backend server.
	return e, !refused && !f.callerGone && !errors.Is(err, ErrOtherAnswer)
}

func (f *forward) event(b *dhbackend.Backend, first time.Duration, failed bool) Event {
	return Event{
		Pool: f.poolName, Backend: b.ID, Version: dhtable.Version{Model: f.model, Name: b.Release},
		Failed: failed, FirstToken: first, Answered: f.answered, Class: f.route.Class, AfterFailure: f.failedBefore,
		Incarnation: b.Incarnation,
	}
}

// repeatable reports whether the request may run more than once.
func (f *forward) repeatable() bool {
	return f.route.Repeatable || (f.route.Stream && f.route.Resumable)
}

// retryable implements exchange.
func (f *forward) retryable(ctx context.Context, err error) bool {
	if errors.Is(err, errLowConfidence) {
		return true
	}
	if ctx.Err() != nil || f.callerGone || f.sends >= f.route.MaxAttempts || f.mayCrashOthers() {
		return false
	}
	if f.begun && !(f.route.Stream && f.route.Resumable && f.hasLastID) {
		return false
	}
	switch dhcode.Of(err) {
	case dhcode.BackendFailed, dhcode.StreamBroken, dhcode.QueueFull:
		return dhcode.RanOf(err) == dhcode.NotRun || f.repeatable()
	}
	return false
}

// takeRetry implements exchange.
func (f *forward) takeRetry() error {
	if f.retryPaid {
		f.retryPaid = false
		return nil
	}
	return f.router.Retries.Retry(f.poolName)
}

// setFailure stores a backend server's own error answer and releases the one
// stored before.
func (f *forward) setFailure(k *bufferedAnswer) {
	if f.failure != nil {
		f.failure.body.release()
	}
	f.failure = k
}

// retryDelay implements exchange. Another backend server is tried at once.
func (*forward) retryDelay(int, error) time.Duration { return 0 }

// conclude converts the error of the last attempt into the result for the
// caller. If a backend server's own error answer is stored and still useful, it
// is relayed instead.
func (f *forward) conclude(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if f.failure != nil && !f.begun && !f.callerGone && ctx.Err() == nil {
		return f.writeAnswer(f.failure)
	}
	if f.mayHaveRun && dhcode.RanOf(err) == dhcode.NotRun {
		err = dhcode.WithRan(dhcode.Wrap(dhcode.BackendFailed, err), dhcode.RanUnknown)
	}
	if ctx.Err() != nil {
		err = withContextCode(ctx, err)
	}
	if dhcode.RanOf(err) == dhcode.NotRun && (dhcode.RetryAfterOf(err) == 0 || dhcode.Of(err) == dhcode.PoolHeldOff || dhcode.Of(err) == dhcode.PoolRateLimited) {
		err = f.withRetryAfter(err) // the hint of a hold-off or a rate limit has no jitter yet
	}
	return err
}
