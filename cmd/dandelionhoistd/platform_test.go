package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	assertcmp "gotest.tools/v3/assert/cmp"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/platform"
)

// fleet runs control and entry VMs as processes with settings in the platform's
// format, each on its own loopback IP, and replicas in this process.
type fleet struct {
	t        *testing.T
	folder   string
	group    *dhgroup.Group
	timers   dhtimer.System
	controls []*platformProcess
	entries  []*platformProcess
	replicas []*replica
	client   *http.Client
}

type platformProcess struct {
	role, ip, settings string
	// program is the path of another build, if it is not empty.
	program string
	// descriptors limits the open descriptors of the process, if it is not 0.
	descriptors int
	command     *exec.Cmd
	exited      chan struct{}
	exit        error
	mu          sync.Mutex
	log         strings.Builder
}

// The ports of every VM, and the heartbeat period of replicas in milliseconds.
const (
	portFront       = 8227
	portReady       = 8220
	portControl     = 8229
	portInternal    = 7340
	testHeartbeatMs = 1000
)

// logText returns what the process has logged so far.
func (p *platformProcess) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// buildDaemon builds the daemon without the race detector and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "dandelionhoistd")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, ".").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return path
}

// fleetIP returns loopback address n from 0 to 15 of this process.
func fleetIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>12&0x1f, pid>>4&0xff, (pid&0x0f)<<4+n)
}

func newFleet(t *testing.T, controls, entries int) *fleet {
	return newLimitedFleet(t, controls, entries, 0)
}

// newLimitedFleet returns a fleet whose processes are told a limit on their memory in
// megabytes, or none if it is 0. With a limit, they run the daemon as it is built for use:
// the race detector takes a multiple of the memory.
func newLimitedFleet(t *testing.T, controls, entries, memory int) *fleet {
	program := ""
	if memory > 0 {
		program = buildDaemon(t)
	}
	return newFleetWith(t, controls, entries, memory, func(p *platformProcess) { p.program = program })
}

// newFleetWith returns a fleet whose processes are prepared with prepare before they start.
func newFleetWith(t *testing.T, controls, entries, memory int, prepare func(*platformProcess)) *fleet {
	f := &fleet{t: t, folder: t.TempDir(), group: dhgroup.New(t.Context())}
	f.client = &http.Client{Transport: &http.Transport{}}
	ip := fleetIP
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(ip(1+i), strconv.Itoa(portControl))))
	}
	for i := range controls + entries {
		p := &platformProcess{role: "control", ip: ip(1 + i)}
		extra := fmt.Sprintf("DataDir = %q\n", filepath.Join(f.folder, fmt.Sprint("data", i)))
		listen := fmt.Sprintf("Control = \"%s:%d\"", p.ip, portControl)
		if i >= controls {
			p.role, extra = "entry", ""
			listen = fmt.Sprintf("Frontend = \"%s:%d\"\nReady = \"%s:%d\"", p.ip, portFront, p.ip, portReady)
		}
		p.settings = writeFile(t, f.folder, fmt.Sprintf("boot-%d.toml", i), fmt.Sprintf(
			"NodeName = \"vm-%d\"\nIp = %q\nZone = \"z%d\"\nInternalPorts = [%d, %d]\nSeeds = [%s]\nBootstrap = true\nHeartbeatMs = %d\n%s"+
				"[Listen]\n%s\n[Limits]\nMemoryMb = %d\n[FaultTolerance]\nMachines = 1\n[Bounds]\nGraceS = 8\nRevokeMs = 60000\nRetryBudgetRatio = 0.9\nRetrySlack = 50\n",
			i, p.ip, i%2, portInternal, portInternal+9, strings.Join(seeds, ", "), testHeartbeatMs, extra, listen, memory))
		if p.role == "control" {
			f.controls = append(f.controls, p)
		} else {
			f.entries = append(f.entries, p)
		}
		prepare(p)
		f.start(p)
	}
	return f
}

func (f *fleet) start(p *platformProcess) {
	f.t.Helper()
	exited := make(chan struct{})
	p.exited = exited
	p.command = exec.Command(cmp.Or(p.program, os.Args[0]), p.role)
	if p.descriptors > 0 {
		p.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.descriptors), cmp.Or(p.program, os.Args[0]), p.role)
	}
	p.command.Env = append(os.Environ(), runMain+"=1", platform.SettingsVariable+"="+p.settings)
	output, err := p.command.StdoutPipe()
	assert.NilError(f.t, err)
	p.command.Stderr = p.command.Stdout
	assert.NilError(f.t, p.command.Start())
	f.group.Go(func(context.Context) error {
		defer close(exited)
		for lines := bufio.NewScanner(output); lines.Scan(); {
			p.mu.Lock()
			p.log.WriteString(lines.Text() + "\n")
			p.mu.Unlock()
		}
		p.exit = p.command.Wait()
		return nil
	})
	command := p.command
	f.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-exited // the next fleet listens on the same addresses
	})
}

// waitUntil polls done until it returns true, a process ends or the test's time limit
// ends.
func (f *fleet) waitUntil(what string, done func() bool) {
	f.t.Helper()
	for !done() {
		for _, p := range slices.Concat(f.controls, f.entries) {
			select {
			case <-p.exited:
				f.t.Fatalf("%s VM %s ended (%v) before: %s\n%s", p.role, p.ip, p.exit, what, p.logText())
			default:
			}
		}
		if dhtimer.Sleep(f.t.Context(), f.timers, 10*time.Millisecond) != nil {
			f.t.Fatalf("the test ended before: %s", what)
		}
	}
}

// call sends a call to a control VM and returns status and body.
func (f *fleet) call(control int, method, path, body string) (int, string) {
	f.t.Helper()
	url := fmt.Sprintf("http://%s:%d/dandelionhoist/%s", f.controls[control].ip, portControl, path)
	r, err := http.NewRequestWithContext(f.t.Context(), method, url, strings.NewReader(body))
	assert.NilError(f.t, err)
	response, err := f.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response.StatusCode, string(text)
}

// replica simulates a backend server, either a plain service or an engine.
type replica struct {
	id, service, zone, version string
	server                     *httptest.Server
	born                       int64
	sequence                   atomic.Int64
	state                      atomic.Value
	arrivals                   atomic.Int64 // of requests to this instance
	runs                       sync.Map     // request id to *atomic.Int64
	// breakAfter aborts a stream in the middle of the event after this one; 0
	// disables it.
	breakAfter atomic.Int64
	// hold, when set, blocks requests until it is closed.
	hold atomic.Pointer[chan struct{}]
	// address is set if the replica is not served by server.
	address string
}

func (r *replica) listenAddress() string {
	if r.address != "" {
		return r.address
	}
	return r.server.Listener.Addr().String()
}

const lastEvent = 5

func (f *fleet) addReplica(id, service, zone, version string) *replica {
	f.t.Helper()
	r := &replica{id: id, service: service, zone: zone, version: version, born: f.timers.Now().UnixMilli()}
	r.state.Store("ready")
	r.server = httptest.NewServer(r)
	f.t.Cleanup(r.server.Close)
	f.replicas = append(f.replicas, r)
	f.announceAll(r)
	return r
}

// announceAll sends heartbeats of a replica until the test ends, unless it is gone.
func (f *fleet) announceAll(r *replica) {
	f.group.Go(func(ctx context.Context) error {
		for i := 0; ; i++ {
			if r.state.Load() != "gone" {
				f.sendHeartbeat(i%len(f.controls), r)
			}
			if dhtimer.Sleep(ctx, f.timers, testHeartbeatMs*time.Millisecond) != nil {
				return nil
			}
		}
	})
}

func (f *fleet) sendHeartbeat(control int, r *replica) int {
	return f.announce(control, r, r.state.Load().(string))
}

// announce sends the next heartbeat of a replica with a state.
func (f *fleet) announce(control int, r *replica, state string) int {
	return f.announceAt(control, r, state, r.sequence.Add(1))
}

func (f *fleet) announceAt(control int, r *replica, state string, sequence int64) int {
	body, err := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.listenAddress(), "Zone": r.zone, "Version": r.version, "Slots": 8,
		"State": state, "ColdLeftMs": 0, "Sequence": sequence, "born": r.born,
		"Models": map[bool]any{true: []map[string]string{{"Name": "m0"}}, false: nil}[r.service == "llm"],
	})
	if err != nil {
		panic(err) // only strings and numbers
	}
	url := fmt.Sprintf("http://%s:%d/dandelionhoist/Instances.Heartbeat/%s", f.controls[control].ip, portControl, r.id)
	response, err := f.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// executions returns how often a request ran, summed over all replicas.
func (f *fleet) executions(id string) int64 {
	n := int64(0)
	for _, r := range f.replicas {
		if count, ok := r.runs.Load(id); ok {
			n += count.(*atomic.Int64).Load()
		}
	}
	return n
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Attempt-Id")
	if request.Header.Get("Expect-Instance") != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the entry VM has dropped the request
	}
	r.arrivals.Add(1)
	count, _ := r.runs.LoadOrStore(id, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	if hold := r.hold.Load(); hold != nil {
		<-*hold
	}
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal-of-"+r.id)
	if strings.HasSuffix(request.URL.Path, largeAnswerPath) {
		for range largeAnswerBytes / len(largeAnswerPart) {
			if _, err := w.Write(largeAnswerPart); err != nil {
				return // the entry VM has closed the connection
			}
		}
		return
	}
	if r.service != "llm" {
		_, _ = fmt.Fprintf(w, "%s for %s", r.id, request.Header.Get("Tenant"))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Confidence", "90")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= lastEvent; n++ {
		if limit := r.breakAfter.Load(); limit > 0 && int64(n) > limit {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, request.Header.Get("Model"))
		_ = http.NewResponseController(w).Flush()
	}
}

// largeAnswerPath ends the paths that replicas answer with largeAnswerBytes bytes, in parts.
const (
	largeAnswerPath  = "/large"
	largeAnswerBytes = 8 << 20
)

var largeAnswerPart = bytes.Repeat([]byte{'x'}, 64<<10)

// reply is the response that a client received.
type reply struct {
	status int
	body   string
	seal   string
	err    error
}

var requestNumber atomic.Int64

// sendRequest sends a request to an entry VM and returns its id and the answer.
func (f *fleet) sendRequest(ctx context.Context, entry int, method, path, key string) (string, reply) {
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	url := fmt.Sprintf("http://%s:%d%s", f.entries[entry].ip, portFront, path)
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return id, reply{err: err}
	}
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Deadline-Ms", "20000")
	r.Header.Set("Model", "*")
	response, err := f.client.Do(r)
	if err != nil {
		return id, reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return id, reply{status: response.StatusCode, body: string(body), seal: response.Header.Get("Server-Seal"), err: err}
}

func (f *fleet) expectStatus(entry int, method, path, key string, status int) (string, reply) {
	f.t.Helper()
	id, got := f.sendRequest(f.t.Context(), entry, method, path, key)
	assert.NilError(f.t, got.err)
	assert.Equal(f.t, got.status, status, got.body)
	return id, got
}

// expectDenial sends a request that the configuration does not allow until it is denied
// for good. An entry VM whose process has just stood still asks its callers to return.
func (f *fleet) expectDenial(entry int, method, path, key string, status int) {
	f.t.Helper()
	f.waitUntil("a request is denied", func() bool {
		id, got := f.sendRequest(f.t.Context(), entry, method, path, key)
		assert.NilError(f.t, got.err)
		assert.Equal(f.t, f.executions(id), int64(0))
		if got.status == http.StatusServiceUnavailable {
			return false
		}
		assert.Equal(f.t, got.status, status, got.body)
		return true
	})
}

func testConfiguration(version int, keys string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[
 {"Name":"plan","Host":"shop.example","PathPrefix":"/plan/","RouteKind":"streaming","TimeoutMs":20000,"SloMs":2000,"Sizes":["m0"],"Service":"llm","MaxAttempts":3,"Resumable":true,"ItlTargetMs":1000},
 {"Name":"order","Host":"shop.example","PathPrefix":"/order/","RouteKind":"non_idempotent","TimeoutMs":8000,"Service":"app","MaxAttempts":1},
 {"Name":"look","Host":"shop.example","PathPrefix":"/look/","RouteKind":"idempotent","TimeoutMs":8000,"Service":"app","MaxAttempts":2}],
 "Services":[{"Name":"llm","MaxConns":100,"Engine":{"Models":[{"Name":"m0"}]}},{"Name":"app"}],
 "Limits":{"MaxBodyBytes":100000},"Tenants":[{"Name":"crew","ApiKeys":[%s]}]}`, version, keys)
}

// configure puts a configuration with the key "key-1" in force.
func (f *fleet) configure(version int) {
	f.t.Helper()
	f.waitUntil("the configuration is acknowledged", func() bool {
		status, _ := f.call(version%len(f.controls), "POST", "Config.Replace", testConfiguration(version, `"key-1"`))
		return status == http.StatusOK
	})
}

// Guards against a failure between processes on the path through control VM,
// entry VM and replica: registration, configuration, plain and at-most-once
// requests, streams that resume on another replica, keys, zones and rollouts.
func TestPlatformEndToEnd(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.waitUntil("the first configuration is acknowledged", func() bool {
		status, _ := f.call(0, "POST", "Config.Replace", testConfiguration(3, `"key-1","key-2"`))
		return status == http.StatusOK
	})
	first := f.addReplica("i-1", "llm", "z0", "v1")
	f.addReplica("i-2", "llm", "z1", "v1")
	f.addReplica("i-3", "app", "z0", "v1")
	for entry := range f.entries {
		f.waitUntil("both pools serve", func() bool {
			_, plan := f.sendRequest(t.Context(), entry, "POST", "/plan/1", "key-1")
			_, look := f.sendRequest(t.Context(), entry, "GET", "/look/1", "key-1")
			return plan.status == http.StatusOK && look.status == http.StatusOK
		})
	}

	id, order := f.expectStatus(0, "POST", "/order/1", "key-1", http.StatusOK)
	assert.Equal(t, order.body, "i-3 for crew")
	assert.Equal(t, order.seal, "seal-of-i-3")
	assert.Equal(t, f.executions(id), int64(1))
	f.expectDenial(0, "POST", "/order/1", "stolen", http.StatusUnauthorized)
	f.expectDenial(1, "POST", "/nothing/1", "key-1", http.StatusNotFound)

	var whole strings.Builder
	for n := 1; n <= lastEvent; n++ {
		fmt.Fprintf(&whole, "id: %d\ndata: m0\n\n", n)
	}
	first.breakAfter.Store(2)
	for range 6 { // some of them start on the replica that aborts streams
		_, plan := f.expectStatus(0, "POST", "/plan/1", "key-1", http.StatusOK)
		assert.Equal(t, plan.body, whole.String())
	}
	first.breakAfter.Store(0)

	status, _ := f.call(1, "POST", "Config.Replace", `{"Version":9,"Routes":[{"Name":"x"`)
	assert.Equal(t, status, http.StatusBadRequest)
	status, _ = f.call(1, "POST", "Config.Replace", testConfiguration(8, `"key-2"`))
	assert.Equal(t, status, http.StatusOK)
	f.waitUntil("the revoked key is refused everywhere", func() bool {
		_, a := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
		_, b := f.sendRequest(t.Context(), 1, "GET", "/look/1", "key-1")
		return a.status == http.StatusUnauthorized && b.status == http.StatusUnauthorized
	})
	status, text := f.call(2, "GET", "Config.Read", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, text, testConfiguration(8, `"key-2"`))

	status, _ = f.call(0, "POST", "Evacuations.Start/z0", "")
	assert.Equal(t, status, http.StatusOK)
	f.waitUntil("the zone's only order service gets nothing", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "POST", "/order/1", "key-2")
		return got.status == http.StatusServiceUnavailable
	})
	status, _ = f.call(2, "POST", "Evacuations.Finish/z0", "")
	assert.Equal(t, status, http.StatusOK)
	f.waitUntil("the zone is back", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "POST", "/order/1", "key-2")
		return got.status == http.StatusOK
	})

	status, _ = f.call(0, "POST", "Rollouts.Start", `{"Service":"llm","Target":"v2","DurationS":3}`)
	assert.Equal(t, status, http.StatusOK)
	f.addReplica("i-4", "llm", "z0", "v2")
	f.addReplica("i-5", "llm", "z1", "v2")
	f.waitUntil("the rollout is completed", func() bool {
		f.sendRequest(t.Context(), 0, "POST", "/plan/1", "key-2")
		_, text := f.call(1, "GET", "Rollouts.Read/llm", "")
		assert.Assert(t, !strings.Contains(text, "reverted"), "a sound version was withdrawn")
		return strings.Contains(text, "completed")
	})
	f.waitUntil("the new version answers", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "POST", "/plan/1", "key-2")
		return got.seal == "seal-of-i-4" || got.seal == "seal-of-i-5"
	})
	for _, p := range append(f.controls, f.entries...) {
		assert.NilError(t, p.command.Process.Signal(syscall.SIGHUP))
	}
	f.stopAll()
}

func (f *fleet) stopAll() {
	f.t.Helper()
	for _, p := range append(f.entries, f.controls...) {
		assert.NilError(f.t, p.command.Process.Signal(syscall.SIGTERM))
	}
	for _, p := range append(f.entries, f.controls...) {
		waitClosed(f.t, p.exited)
		assert.NilError(f.t, p.exit, "%s", p.logText())
	}
}

// Guards against a planned stop that interrupts a request: the entry VM reports
// not ready at once, and running requests and those on open connections are
// answered.
func TestPlatformStopUnderLoad(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.configure(3)
	app := f.addReplica("i-3", "app", "z0", "v1")
	f.waitUntil("the pool serves", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
		return got.status == http.StatusOK
	})
	hold := make(chan struct{})
	app.hold.Store(&hold)
	const running = 8
	replies := make(chan reply, running)
	for range running {
		f.group.Go(func(ctx context.Context) error {
			_, got := f.sendRequest(ctx, 0, "POST", "/order/1", "key-1")
			replies <- got
			return nil
		})
	}
	started := func() (n int) {
		app.runs.Range(func(any, any) bool { n++; return true })
		return n
	}
	before := started()
	f.waitUntil("all requests run", func() bool { return started() >= before+running || started() > running })
	entry := f.entries[0]
	assert.NilError(t, entry.command.Process.Signal(syscall.SIGTERM))
	f.waitUntil("the VM is not ready", func() bool {
		response, err := f.client.Get(fmt.Sprintf("http://%s:%d/dandelionhoist/readyz", entry.ip, portReady))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	close(hold)
	for range running {
		got := <-replies
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	waitClosed(t, entry.exited)
	assert.NilError(t, entry.exit)
}

// Guards against a SIGHUP that ends a process before main runs: settings may
// change at any moment. Seed 129 of the soak showed the fault.
func TestHangupBeforeMain(t *testing.T) {
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	assert.Equal(t, <-earlySignals, os.Signal(syscall.SIGHUP))
}

// Guards against a check that accepts what the roles refuse to start with.
func TestCheckPlatformSettings(t *testing.T) {
	check := func(text string) (string, error) {
		command := exec.CommandContext(t.Context(), os.Args[0], "check-platform-settings", writeFile(t, t.TempDir(), "boot.toml", text))
		command.Env = append(os.Environ(), runMain+"=1")
		out, err := command.CombinedOutput()
		return string(out), err
	}
	const good = "NodeName = \"vm\"\nIp = \"10.0.0.1\"\nInternalPorts = [7340, 7349]\n"
	out, err := check(good)
	assert.NilError(t, err, out)
	out, err = check(good + "[Bounds]\nGraceS = -1\n")
	assert.Assert(t, err != nil)
	assert.Assert(t, assertcmp.Contains(out, "Bounds.GraceS is -1"))
}

// Guards against a blocked log that delays requests or drops lines without
// reporting it: the log reader stops while an entry VM answers far more requests
// than its log budget covers.
func TestPlatformBlockedLogReader(t *testing.T) {
	const requests, callers = 4000, 8
	f := newFleet(t, 1, 1)
	f.waitUntil("the first configuration is acknowledged", func() bool {
		status, _ := f.call(0, "POST", "Config.Replace", testConfiguration(3, `"key-1"`))
		return status == http.StatusOK
	})
	f.addReplica("i-3", "app", "z0", "v1")
	f.waitUntil("the pool serves", func() bool {
		_, got := f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
		return got.status == http.StatusOK
	})
	entry := f.entries[0]
	entry.mu.Lock() // the log reader locks it for each line
	asking := dhgroup.New(t.Context())
	for range callers {
		asking.Go(func(ctx context.Context) error {
			for range requests / callers {
				if _, got := f.sendRequest(ctx, 0, "GET", "/look/1", "key-1"); got.status != http.StatusOK {
					return fmt.Errorf("status %d, %v: %s", got.status, got.err, got.body)
				}
			}
			return nil
		})
	}
	err := asking.Wait()
	entry.mu.Unlock()
	if err != nil {
		f.stopAll() // the log is complete afterwards
		t.Fatalf("%v\n%s", err, entry.logText())
	}
	f.waitUntil("the log says what was left out", func() bool {
		f.sendRequest(t.Context(), 0, "GET", "/look/1", "key-1")
		return strings.Contains(entry.logText(), `msg="log lines left out"`)
	})
	f.stopAll()
}
