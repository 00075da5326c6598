package dhsoak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/platform"
)

const (
	poolEngine = "engines"
	poolPlain  = "orders"

	// lastEvent is the number of events in a stream, eventGap the time between two.
	lastEvent = 8
	eventGap  = 15 * time.Millisecond
	// plainDuration is the time that a plain request takes.
	plainDuration = 20 * time.Millisecond
	// slowFactor is the factor by which a slow backend server takes longer.
	slowFactor = 8
	// engineSlots and plainSlots limit the requests that run concurrently.
	engineSlots = 24
	plainSlots  = 8
	// lowConfidenceShare is the share of the small model's answers that have a low
	// confidence.
	lowConfidenceShare = 0.1
	// maxHang bounds how long a hanging request is kept.
	maxHang = 4 * time.Second
	// reuseDelay is how long an address stays unused before it joins another pool.
	reuseDelay = 2 * time.Second
	// requestedPause is the pause that a refusing backend server asks for in every
	// second refusal.
	requestedPause = 1500 * time.Millisecond
	// minPoolServers servers always remain in a pool, so that it can serve while a
	// zone is evacuated.
	minPoolServers = 2
	// announceLimit bounds a call to a control VM.
	announceLimit = time.Second
)

var models = []string{"small", "large"}

// backend simulates a backend server at a fixed address. Each start gets a new
// instance id.
type backend struct {
	deployment *deployment
	name, ip   string
	zone       string
	// version is the version of its software.
	version string

	// restarting serializes the restarts of overlapping faults.
	restarting sync.Mutex

	mu        sync.Mutex
	random    *rand.Rand
	pool      string
	id        string
	starts    int
	startedAt time.Time
	coldUntil time.Time
	sequence  int
	// leaving is announced. silent is set once the backend server has deregistered and
	// goes on serving, without announcements.
	leaving, silent bool
	conduct         conduct
	active          int
	runs            int
	refusals        int
	server          *http.Server
	// limit is stated until limitEnd.
	limit    float64
	limitEnd time.Time
}

// setLimit makes the present incarnation state a limit on its requests per second.
func (b *backend) setLimit(limit float64, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.limitEnd = limit, b.deployment.soak.Timers.Now().Add(d)
}

// start begins a new incarnation that is cold for the given time.
func (b *backend) start(cold time.Duration) error {
	listener, err := b.deployment.network.bind(address(b.ip, portBackendDirect))
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newInstance(cold)
	server := &http.Server{
		Handler: b,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) { c.(*answerConn).changeState(state) },
	}
	b.server = server
	b.deployment.group.Go(func(context.Context) error {
		if err := server.Serve(answerListener{listener, b}); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	b.deployment.group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}

// newInstance begins a new incarnation. The caller holds mu.
func (b *backend) newInstance(cold time.Duration) {
	b.starts++
	b.id, b.sequence, b.leaving, b.silent = fmt.Sprintf("%s-%d", b.name, b.starts), 0, false, false
	b.startedAt = b.deployment.soak.Timers.Now()
	b.coldUntil, b.limitEnd = b.startedAt.Add(cold), time.Time{}
}

// restartInPlace begins a new incarnation that takes over the open connections.
func (b *backend) restartInPlace() {
	b.deployment.checker.Disturb(b.instance())()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		b.newInstance(0)
	}
}

func (b *backend) restart(cold time.Duration) {
	b.restarting.Lock()
	defer b.restarting.Unlock()
	b.crash() // an overlapping fault may have restarted it already
	if b.deployment.group.Context().Err() != nil {
		return
	}
	if err := b.start(cold); err != nil && b.deployment.group.Context().Err() == nil {
		b.deployment.checker.RecordViolation("soak", "start of %s: %v", b.name, err)
	}
}

// crash ends the incarnation and resets its connections.
func (b *backend) crash() {
	b.mu.Lock()
	server, id := b.server, b.id
	b.server, b.id = nil, ""
	b.mu.Unlock()
	if server != nil {
		b.deployment.checker.Disturb(id)()
		_ = server.Close() // only the listener can fail to close; start would report that
		b.deployment.network.reset(b.name)
	}
}

// switchPool moves the address to the other pool, if minPoolServers others remain
// in its own.
func (b *backend) switchPool() {
	if dhtimer.Sleep(b.deployment.group.Context(), b.deployment.soak.Timers, reuseDelay) != nil {
		return
	}
	b.deployment.mu.Lock()
	defer b.deployment.mu.Unlock()
	if !b.spare() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool == poolEngine {
		b.pool = poolPlain
	} else {
		b.pool = poolEngine
	}
}

// spare reports whether minPoolServers others remain in the pool that announce themselves.
func (b *backend) spare() bool {
	others := 0
	for _, o := range b.deployment.backends {
		if o != b && o.poolName() == b.poolName() && !o.isSilent() {
			others++
		}
	}
	return others >= minPoolServers
}

func (b *backend) isSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent
}

func (b *backend) poolName() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool
}

// instance returns the id of the running incarnation.
func (b *backend) instance() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id
}

func (b *backend) setConduct(c conduct) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conduct = c
}

// leave announces that the backend server leaves, serves until drainBound has
// passed, and then deregisters it.
func (b *backend) leave(ctx context.Context) {
	b.mu.Lock()
	b.leaving = true
	id := b.id
	b.mu.Unlock()
	for range len(b.deployment.controls) * 2 {
		if b.announce(ctx) {
			if b.deployment.keepsLeaves() {
				b.deployment.checker.LeaveAcknowledged(id)
			}
			break
		}
	}
	_ = dhtimer.Sleep(ctx, b.deployment.soak.Timers, drainBound+time.Second) // the end of the run stops the server
	b.mu.Lock()
	born := uint64(b.startedAt.UnixMilli())
	b.mu.Unlock()
	path, body, err := platform.EncodeDeregister(id, born)
	if err != nil {
		panic(err) // only a string and a number are encoded
	}
	b.call(ctx, path, body)
}

// announceAll sends announcements until the run ends.
func (b *backend) announceAll(ctx context.Context) error {
	for {
		b.mu.Lock()
		up := b.server != nil && !b.silent
		b.mu.Unlock()
		if up {
			b.announce(ctx)
		}
		if dhtimer.Sleep(ctx, b.deployment.soak.Timers, heartbeat) != nil {
			return nil
		}
	}
}

// announce sends one announcement and reports whether it was acknowledged.
func (b *backend) announce(ctx context.Context) bool {
	path, body := b.nextAnnouncement()
	return b.call(ctx, path, body)
}

func (b *backend) nextAnnouncement() (path string, body []byte) {
	b.mu.Lock()
	b.sequence++
	r := &dhpb.BackendRecord{
		Id: b.id, Pool: b.pool, Address: address(b.ip, portBackend), Zone: b.zone, Release: b.version, Slots: engineSlots,
		State: dhbackend.Ready.String(), ColdFor: durationpb.New(max(0, b.coldUntil.Sub(b.deployment.soak.Timers.Now()))),
		Sequence: uint64(b.sequence), Incarnation: uint64(b.startedAt.UnixMilli()),
	}
	if b.leaving {
		r.State = dhbackend.Leaving.String()
	}
	if b.pool == poolEngine {
		for _, m := range models {
			r.Versions = append(r.Versions, &dhpb.LoadedVersion{Model: m})
		}
	}
	b.mu.Unlock()
	path, body, err := platform.EncodeHeartbeat(r)
	if err != nil {
		panic(err) // only strings and numbers are encoded
	}
	return path, body
}

// lateAnnouncementPeriod is the time between two late announcements of a backend server that
// has left.
const lateAnnouncementPeriod = time.Second

// linger deregisters the backend server, which goes on serving until another fault ends it.
// An announcement made before the leave arrives again and again afterwards.
func (b *backend) linger(ctx context.Context) {
	b.deployment.mu.Lock()
	if !b.spare() {
		b.deployment.mu.Unlock()
		return
	}
	latePath, late := b.nextAnnouncement()
	b.mu.Lock()
	b.silent = true
	id, born := b.id, uint64(b.startedAt.UnixMilli())
	b.mu.Unlock()
	b.deployment.mu.Unlock()
	if id == "" {
		return // it is down, and starts again under another id
	}
	path, body, err := platform.EncodeDeregister(id, born)
	if err != nil {
		panic(err) // only a string and a number are encoded
	}
	acknowledged := false
	for range len(b.deployment.controls) * 2 {
		if acknowledged = b.call(ctx, path, body); acknowledged {
			break
		}
	}
	if !acknowledged {
		b.restart(0)
		return
	}
	if b.deployment.keepsLeaves() {
		b.deployment.checker.LeaveAcknowledged(id)
	}
	b.deployment.group.Go(func(ctx context.Context) error {
		for dhtimer.Sleep(ctx, b.deployment.soak.Timers, lateAnnouncementPeriod) == nil {
			b.call(ctx, latePath, late)
		}
		return nil
	})
}

// call sends a call to a random control VM from the backend server's IP, and
// reports whether it succeeded.
func (b *backend) call(ctx context.Context, path string, body []byte) bool {
	b.mu.Lock()
	v := b.deployment.controls[b.random.IntN(len(b.deployment.controls))]
	b.mu.Unlock()
	limited, cancel := dhtimer.WithTimeout(ctx, b.deployment.soak.Timers, announceLimit)
	defer cancel()
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(b.ip)}}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	status, _ := call(limited, client, http.MethodPost, address(v.publicIP, portControl), path, body)
	return status == http.StatusOK
}

// call sends a call and returns the status and body of the answer; the status is
// 0 without an answer.
func call(ctx context.Context, client *http.Client, method, host, path string, body []byte) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // paths are those of this package
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// plainBody returns the body of a backend server's answer to a plain request.
func plainBody(backend, id string) string {
	return strings.Repeat(fmt.Sprintf("%s answers %s\n", backend, id), 20)
}

// event returns event n of a stream.
func event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller has disconnected before the request was complete
	}
	timers := b.deployment.soak.Timers
	b.mu.Lock()
	id, pool, behaviour := b.id, b.pool, b.conduct
	slots := engineSlots
	if pool == poolPlain {
		slots = plainSlots
	}
	cause, draw := causeOf(r.URL.Path, r.Header.Get(platform.HeaderPrefix)), b.random.Float64()
	// The check of requests that crash backend servers counts refused ones as well.
	full := b.active >= slots || behaviour == refusing || (behaviour == copying && cause == "" && draw < copiedRefusalShare)
	if behaviour == copying && pool == poolPlain && draw > 1-copiedFailureShare {
		behaviour = failing // answers of engines count in a rollout
	}
	if !full {
		b.active++
		b.runs++
		defer func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.active--
		}()
	}
	s := backendRequest{
		id: r.Header.Get(platform.HeaderID), method: r.Method, path: r.URL.Path, body: digest(body), model: r.Header.Get(platform.HeaderModel),
		account: r.Header.Get(platform.HeaderTenant), keyForwarded: r.Header.Get("Authorization") != "", cold: timers.Now().Before(b.coldUntil),
		refused: full, backend: id, pool: pool, zone: b.zone, version: b.version, cause: cause, number: b.runs, seal: fmt.Sprintf("seal-%s-%d", id, b.runs),
	}
	lowConfidence := b.random.Float64() < lowConfidenceShare
	pause := time.Duration(0)
	if behaviour == refusing {
		if b.refusals++; b.refusals%2 == 1 {
			pause = requestedPause
		}
	}
	s.met = s.cause == "" && !lowConfidence && (behaviour == healthy || behaviour == copying) && metCopy(r.Context())
	s.leaving, s.limit, s.limited = b.leaving, b.limit, timers.Now().Before(b.limitEnd)
	b.mu.Unlock()
	w.Header().Set("Instance-Id", id)
	w.Header().Set(platform.HeaderID, s.id)
	if s.leaving {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	if expected := r.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.deployment.checker.Arrived(s)
	if s.limited {
		w.Header().Set(platform.HeaderLimit, strconv.FormatFloat(s.limit, 'f', -1, 64))
	}
	if full {
		b.deployment.checker.LimitStated(s)
		if pause > 0 {
			w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
			defer b.deployment.checker.PauseRequested(s.id, id, pause)
		}
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.cause != "" {
		b.crashUnder(r, s)
	}
	w.Header().Set(platform.HeaderSeal, s.seal)
	factor := time.Duration(1)
	switch behaviour {
	case failing, flaky:
		if behaviour == flaky && s.number%2 == 0 {
			break
		}
		b.deployment.checker.Finished(s.id, id, http.StatusInternalServerError)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case hanging:
		_ = dhtimer.Sleep(r.Context(), timers, maxHang) // the caller may have disconnected
	case resetting:
		panic(http.ErrAbortHandler)
	case slow:
		factor = slowFactor
	}
	b.deployment.checker.Finished(s.id, id, http.StatusOK)
	if pool == poolPlain {
		b.answer(r.Context(), w, s, behaviour, factor)
		return
	}
	confidence := "90"
	if lowConfidence && s.model == models[0] {
		confidence = "5"
	}
	w.Header().Set(platform.HeaderConfidence, confidence)
	b.stream(w, r, s, behaviour, factor)
}

// answer sends a plain answer.
func (b *backend) answer(ctx context.Context, w http.ResponseWriter, s backendRequest, behaviour conduct, factor time.Duration) {
	if dhtimer.Sleep(ctx, b.deployment.soak.Timers, plainDuration*factor) != nil {
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	b.deployment.checker.LimitStated(s)
	text := plainBody(s.backend, s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if behaviour == breakingOff {
		text = text[:len(text)/2]
	}
	_, _ = io.WriteString(w, text) // the caller may have disconnected
	switch behaviour {
	case breakingOff:
		flush(w)
		panic(http.ErrAbortHandler)
	case addingBytes:
		flush(w)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // the connection has ended
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\n%s: seal-other\r\nContent-Length: 5\r\n\r\nother", platform.HeaderID, platform.HeaderSeal)
		_ = conn.Close() // the write and the close are the simulated fault
	}
}

// crashUnder crashes the backend server while it runs a request.
func (b *backend) crashUnder(r *http.Request, s backendRequest) {
	if dhtimer.Sleep(r.Context(), b.deployment.soak.Timers, eventGap) == nil {
		b.deployment.group.Go(func(context.Context) error {
			b.crashBy(s.cause, s.backend)
			return nil
		})
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// stream sends the events that follow the last one that the caller has received.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, s backendRequest, behaviour conduct, factor time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent)) // 0 for the first run
	for n := last + 1; n <= lastEvent; n++ {
		if dhtimer.Sleep(r.Context(), b.deployment.soak.Timers, eventGap*factor) != nil {
			panic(http.ErrAbortHandler)
		}
		if n == last+1 {
			b.deployment.checker.LimitStated(s)
		}
		text := event(s.id, n)
		if behaviour == breakingOff && n > lastEvent/2 {
			_, _ = io.WriteString(w, text[:len(text)/2]) // the caller may have disconnected
			flush(w)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text) // the caller may have disconnected
		flush(w)
	}
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush() // the caller may have disconnected
}
