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
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhversion"
)

const (
	// unsentTries is how many backend servers that could not be reached, or are
	// gone from their address, are skipped; they are no attempts. Those that
	// crashed refuse connections within milliseconds and look idle, so that
	// placement prefers them; 3 let requests fail while others were free.
	unsentTries = 12
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
	// stallObjectives is how many times the wanted time an answer that is no
	// stream may take before another backend server is asked.
	stallObjectives = 3
	// firstExpectations is how many times the expected time a first event may take
	// before another backend server is asked.
	firstExpectations = 4
	// minStall is the least silence after which a request goes on at another
	// backend server.
	minStall = time.Second
)

var (
	// errStalled ends an attempt whose backend server has been silent for too long.
	errStalled = errors.New("the backend server is silent")
	// errMoved ends an attempt at an address that another backend server has now.
	errMoved = errors.New("another backend server is at the address")
	// errUnsure ends an attempt whose model is unsure of its answer.
	errUnsure = errors.New("the model is unsure of its answer")
)

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

	// tried are the backend servers that failed or refused the request or could
	// not be reached, sends how many got it.
	tried      []string
	sends      int
	mayHaveRun bool
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
	// passedAt is when the caller got its newest event, firstPassed the time to
	// its first one and longestPause the longest time between two.
	passedAt                  time.Time
	firstPassed, longestPause time.Duration
	backend                   *dhbackend.Backend
	answered                  bool
	// unsure is the newest answer that was dropped for a larger model's.
	unsure *unsureAnswer
	// failure is a backend server's own failure, passed on when no attempt succeeds.
	failure *kept
	// paid is set when the next attempt has been taken from the budget, or adds
	// nothing to the load of backend servers.
	paid bool
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
	f.keepFailure(nil)
	f.log(err)
	return f.begun, err
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
// come back together, after the one that err has. It is at most a quarter of the
// time left, since callers wait for a third of it at most.
func (f *forward) hint(err error) error {
	d := max(minRetryAfter, dhcode.RetryAfterOf(err)) + time.Duration(f.router.Random()*float64(spreadRetryAfter))
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
		Shared: max(len(f.prefix)-1, 0), Lane: f.lane(), Pace: f.pace(s.Tables.Pools[f.poolName]), PromptTokens: f.message.PromptTokens, MaxTokens: f.message.MaxTokens, ZoneWeights: s.ZoneWeight,
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

// pace returns how long the request's model reads a token against the route's
// slowest: a model that costs less reads as much faster.
func (f *forward) pace(p dhtable.Pool) float64 {
	most := 0.0
	for _, name := range f.route.Cascade {
		most = max(most, p.Models[name].CostPer1000Tokens)
	}
	if cost := p.Models[f.model].CostPer1000Tokens; cost > 0 && cost < most {
		return cost / most
	}
	return 1
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

// dispatch implements exchange. The key may have been revoked since the
// request was placed, as when the VM was frozen meanwhile.
func (f *forward) dispatch(context.Context) error {
	if f.route.Public {
		return nil
	}
	return f.checkLease()
}

// ended implements exchange.
func (f *forward) ended(b *dhbackend.Backend, first time.Duration, err error) (Event, bool) {
	notRun := err != nil && dhcode.RanOf(err) == dhcode.NotRun
	refused := notRun && dhcode.Of(err) == dhcode.QueueFull
	switch {
	case errors.Is(err, errMoved):
		// It is no attempt, but the backend server at the address has got it.
	case notRun && !refused:
		f.paid = true
	default:
		f.sends++
	}
	f.mayHaveRun = f.mayHaveRun || !notRun
	if err == nil {
		return f.event(b, first, false), true
	}
	if errors.Is(err, errUnsure) {
		return Event{}, false // the backend server did what it was asked for
	}
	e := f.event(b, first, true)
	e.Unreachable = (notRun && !refused) || errors.Is(err, errStalled) || errors.Is(err, errEndless) || errors.Is(err, syscall.ETIMEDOUT)
	f.tried = append(f.tried, b.ID)
	if f.message.AnyModel && !f.begun && len(f.route.Cascade) > 0 {
		// The smallest model answers soonest, which counts most by now.
		f.setModel(f.route.Cascade[0])
	}
	f.router.Log.Info("attempt failed", slog.String("request", f.message.ID), slog.String("backend", b.ID),
		slog.String("release", b.Release), slog.Uint64("sequence", b.Sequence), slog.Int("sends", f.sends),
		slog.Bool("begun", f.begun), slog.String("ran", dhcode.RanOf(err).String()), slog.String("error", err.Error()))
	f.router.Metrics.Count("attempt-failed", dhcode.Of(err).String())
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

// keepFailure keeps a backend server's own failure in place of an earlier one.
func (f *forward) keepFailure(k *kept) {
	if f.failure != nil {
		f.failure.body.release()
	}
	f.failure = k
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
	if dhcode.RanOf(err) == dhcode.NotRun && (dhcode.RetryAfterOf(err) == 0 || dhcode.Of(err) == dhcode.PoolHeldOff) {
		err = f.hint(err) // the end of a pause is not spread yet
	}
	return err
}
