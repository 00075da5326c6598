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
	"syscall"
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

	// lastEvent is the number of events of a stream, eventGap the time between two.
	lastEvent = 8
	eventGap  = 15 * time.Millisecond
	// plainWork is the time that a plain request takes.
	plainWork = 20 * time.Millisecond
	// slowFactor is how many times longer a slow backend server takes.
	slowFactor = 8
	// engineSlots and plainSlots are the requests that run at the same time.
	engineSlots = 24
	plainSlots  = 8
	// unsurePart of the answers of the small model have little confidence.
	unsurePart = 0.1
	// maxHang bounds how long a hanging request is kept.
	maxHang = 4 * time.Second
	// reuseAfter is how long an address rests before another pool gets it.
	reuseAfter = 2 * time.Second
	// pauseAsked is how long a refusing backend server wants no request, as each
	// second refusal says.
	pauseAsked = 1500 * time.Millisecond
	// minPool servers of a pool keep their addresses, so that it goes on serving
	// while a zone is out.
	minPool = 2
	// announceLimit bounds a call to a control VM.
	announceLimit = time.Second
)

var models = []string{"small", "large"}

// backend is a stand-in for a backend server at an address. Each start of it has
// an id of its own.
type backend struct {
	deployment *deployment
	name, ip   string
	zone       string
	// version is that of its software.
	version string

	// restarting orders the restarts of faults that overlap.
	restarting sync.Mutex

	mu       sync.Mutex
	random   *rand.Rand
	pool     string
	id       string
	starts   int
	born     time.Time
	coldTill time.Time
	sequence int
	leaving  bool
	conduct  conduct
	active   int
	runs     int
	refusals int
	server   *http.Server
}

// start begins a new incarnation, cold for a while.
func (b *backend) start(cold time.Duration) error {
	listener, err := b.listen()
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.id, b.sequence, b.leaving = fmt.Sprintf("%s-%d", b.name, b.starts), 0, false
	b.born = b.deployment.soak.Timers.Now()
	b.coldTill = b.born.Add(cold)
	server := &http.Server{Handler: b}
	b.server = server
	b.deployment.group.Go(func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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

// listen opens the server's address. A process that is being started holds a copy
// of a listener that was just closed until it runs its program, so that the
// address may still be in use.
func (b *backend) listen() (net.Listener, error) {
	const (
		tries = 20
		pause = 20 * time.Millisecond
	)
	for try := 0; ; try++ {
		listener, err := net.Listen("tcp", address(b.ip, portHidden))
		if err == nil || try == tries || !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		if err := dhtimer.Sleep(b.deployment.group.Context(), b.deployment.soak.Timers, pause); err != nil {
			return nil, err
		}
	}
}

func (b *backend) restart(cold time.Duration) {
	b.restarting.Lock()
	defer b.restarting.Unlock()
	b.crash() // overlapping faults may have brought it back
	if b.deployment.group.Context().Err() != nil {
		return
	}
	if err := b.start(cold); err != nil && b.deployment.group.Context().Err() == nil {
		b.deployment.judge.Broken("soak", "start of %s: %v", b.name, err)
	}
}

// crash ends the incarnation and resets its connections.
func (b *backend) crash() {
	b.mu.Lock()
	server := b.server
	b.server, b.id = nil, ""
	b.mu.Unlock()
	if server != nil {
		_ = server.Close() // only its listener can fail to close, which start reports
		b.deployment.network.reset(b.name)
	}
}

// exchangePool gives the address to the other pool, if enough servers are left in its own.
func (b *backend) exchangePool() {
	if dhtimer.Sleep(b.deployment.group.Context(), b.deployment.soak.Timers, reuseAfter) != nil {
		return
	}
	b.deployment.mu.Lock()
	defer b.deployment.mu.Unlock()
	others := 0
	for _, o := range b.deployment.backends {
		if o != b && o.poolName() == b.poolName() {
			others++
		}
	}
	if others < minPool {
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

func (b *backend) behave(c conduct) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conduct = c
}

// leave announces that the backend server leaves, and goes on serving for a while.
func (b *backend) leave(ctx context.Context) {
	b.mu.Lock()
	b.leaving = true
	id := b.id
	b.mu.Unlock()
	for range len(b.deployment.controls) * 2 {
		if b.announce(ctx) {
			b.deployment.judge.Left(id)
			break
		}
	}
	_ = dhtimer.Sleep(ctx, b.deployment.soak.Timers, drainBound+time.Second) // the run ends the server
	b.mu.Lock()
	born := uint64(b.born.UnixMilli())
	b.mu.Unlock()
	path, body, err := platform.EncodeLeave(id, born)
	if err != nil {
		panic(err) // only a number
	}
	b.call(ctx, path, body)
}

// announceAll announces until the run ends.
func (b *backend) announceAll(ctx context.Context) error {
	for {
		b.mu.Lock()
		up := b.server != nil
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
	b.mu.Lock()
	b.sequence++
	r := &dhpb.BackendRecord{
		Id: b.id, Pool: b.pool, Address: address(b.ip, portBackend), Zone: b.zone, Release: b.version, Slots: engineSlots,
		State: dhbackend.Ready.String(), ColdFor: durationpb.New(max(0, b.coldTill.Sub(b.deployment.soak.Timers.Now()))),
		Sequence: uint64(b.sequence), Incarnation: uint64(b.born.UnixMilli()),
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
	path, body, err := platform.EncodeAnnouncement(r)
	if err != nil {
		panic(err) // only strings and numbers
	}
	return b.call(ctx, path, body)
}

// call sends a call to some control VM from the backend server's IP.
func (b *backend) call(ctx context.Context, path string, body []byte) bool {
	b.mu.Lock()
	v := b.deployment.controls[b.random.IntN(len(b.deployment.controls))]
	b.mu.Unlock()
	limited, cancel := dhtimer.WithTimeout(ctx, b.deployment.soak.Timers, announceLimit)
	defer cancel()
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(b.ip)}}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	status, _ := call(limited, client, http.MethodPost, address(v.public, portControl), path, body)
	return status == http.StatusOK
}

// call sends a call and returns status and body; the status is 0 without an answer.
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

// plainBody is the answer of a backend server to a plain request.
func plainBody(backend, id string) string {
	return strings.Repeat(fmt.Sprintf("%s answers %s\n", backend, id), 20)
}

// event is one event of a stream.
func event(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller has gone before the request was whole
	}
	timers := b.deployment.soak.Timers
	b.mu.Lock()
	id, pool, behaviour := b.id, b.pool, b.conduct
	slots := engineSlots
	if pool == poolPlain {
		slots = plainSlots
	}
	full := b.active >= slots || behaviour == refusing
	if !full {
		b.active++
		b.runs++
		defer func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.active--
		}()
	}
	s := seen{
		id: r.Header.Get(platform.HeaderID), method: r.Method, path: r.URL.Path, body: digest(body), model: r.Header.Get(platform.HeaderModel),
		account: r.Header.Get(platform.HeaderTenant), keyShown: r.Header.Get("Authorization") != "", cold: timers.Now().Before(b.coldTill),
		refused: full, backend: id, pool: pool, zone: b.zone, version: b.version, number: b.runs, seal: fmt.Sprintf("seal-%s-%d", id, b.runs),
	}
	unsure := b.random.Float64() < unsurePart
	pause := time.Duration(0)
	if behaviour == refusing {
		if b.refusals++; b.refusals%2 == 1 {
			pause = pauseAsked
		}
	}
	s.leaving = b.leaving
	b.mu.Unlock()
	w.Header().Set("Instance-Id", id)
	if s.leaving {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	if expected := r.Header.Get(platform.HeaderExpect); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.deployment.judge.Arrived(s)
	if full {
		if pause > 0 {
			w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
			defer b.deployment.judge.ToldPause(s.id, id, pause)
		}
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(platform.HeaderID, s.id)
	w.Header().Set(platform.HeaderSeal, s.seal)
	factor := time.Duration(1)
	switch behaviour {
	case failing, flaky:
		if behaviour == flaky && s.number%2 == 0 {
			break
		}
		b.deployment.judge.Finished(s.id, id, http.StatusInternalServerError)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case hanging:
		_ = dhtimer.Sleep(r.Context(), timers, maxHang) // the caller may have gone
	case resetting:
		panic(http.ErrAbortHandler)
	case slow:
		factor = slowFactor
	}
	b.deployment.judge.Finished(s.id, id, http.StatusOK)
	if pool == poolPlain {
		b.answer(r.Context(), w, s, behaviour, factor)
		return
	}
	confidence := "90"
	if unsure && s.model == models[0] {
		confidence = "5"
	}
	w.Header().Set(platform.HeaderConfidence, confidence)
	b.stream(w, r, s, behaviour, factor)
}

// answer sends a plain answer.
func (b *backend) answer(ctx context.Context, w http.ResponseWriter, s seen, behaviour conduct, factor time.Duration) {
	if dhtimer.Sleep(ctx, b.deployment.soak.Timers, plainWork*factor) != nil {
		panic(http.ErrAbortHandler) // the caller has gone
	}
	text := plainBody(s.backend, s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if behaviour == breakingOff {
		text = text[:len(text)/2]
	}
	_, _ = io.WriteString(w, text) // the caller may have gone
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
		_ = conn.Close() // both are a fault that is played
	}
}

// stream sends the events after the last one that the caller has.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, s seen, behaviour conduct, factor time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent)) // 0 for the first run
	for n := last + 1; n <= lastEvent; n++ {
		if dhtimer.Sleep(r.Context(), b.deployment.soak.Timers, eventGap*factor) != nil {
			panic(http.ErrAbortHandler)
		}
		text := event(s.id, n)
		if behaviour == breakingOff && n > lastEvent/2 {
			_, _ = io.WriteString(w, text[:len(text)/2]) // the caller may have gone
			flush(w)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text) // the caller may have gone
		flush(w)
	}
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush() // the caller may have gone
}
