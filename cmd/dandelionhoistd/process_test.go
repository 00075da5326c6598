package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

// runMain makes the test binary run the daemon, so that tests drive real processes.
const runMain = "DANDELIONHOISTD_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const (
	callerKey   = "crew-east-key"
	operatorKey = "operator-key"
	peerKey     = "peer-key"
)

// cluster is a set of daemons and simulated backend servers on loopback.
type cluster struct {
	t       testing.TB
	folder  string
	daemons []*daemon
	group   *dhgroup.Group
	entries []string
	// flags are appended to the command lines of the daemons.
	flags  []string
	models map[string]*dhengine.Model
}

type daemon struct {
	settings                  string
	callers, operators, peers string
	process                   *exec.Cmd
	router                    dhpbconnect.RouterServiceClient
	operator                  dhpbconnect.OperatorServiceClient
	// log is complete once exited is closed.
	log             strings.Builder
	serving, exited chan struct{}
	exit            error
}

// newCluster writes settings for n daemons. The first ones, as many as voters
// says, are voters with a disk.
func newCluster(t testing.TB, n, voters int) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), group: dhgroup.New(t.Context()), models: make(map[string]*dhengine.Model)}
	writeFile(t, c.folder, "peer.key", peerKey)
	writeFile(t, c.folder, "session.key", "session-key")
	writeFile(t, c.folder, "operators", dhtable.HashKey(operatorKey).String())
	for range n {
		d := &daemon{callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t)}
		d.router = dhpbconnect.NewRouterServiceClient(dhengine.NewHTTPClient(), "http://"+d.callers, dhwire.WithKey(callerKey))
		d.operator = dhpbconnect.NewOperatorServiceClient(dhengine.NewHTTPClient(), "http://"+d.operators, dhwire.WithKey(operatorKey))
		c.daemons = append(c.daemons, d)
	}
	var names []string
	for i, d := range c.daemons[:voters] {
		names = append(names, fmt.Sprintf(`{"address": %q, "zone": "mrc-%c"}`, d.peers, 'a'+i))
	}
	for i, d := range c.daemons {
		state := ""
		if i < voters {
			state = fmt.Sprintf(`"folder": %q, `, filepath.Join(c.folder, fmt.Sprintf("data-%d", i)))
		}
		d.settings = writeFile(t, c.folder, fmt.Sprintf("entry-%d.json", i), fmt.Sprintf(`{
			"format": 1, "name": "entry-%d", "zone": "mrc-%c", "region": "mauricie",
			"listen": {"callers": %q, "operators": %q, "peers": %q},
			"peers": {"seeds": [%q, %q], "entry-vms": %d},
			"keys": {"peer-file": %q, "operator-file": %q, "session-file": %q},
			"state": {%s"voters": [%s]},
			"timing": {"leave-notice": "100ms", "gossip-period": "100ms"},
		}`, i, 'a'+i, d.callers, d.operators, d.peers, c.daemons[0].peers, c.daemons[n-1].peers, n,
			filepath.Join(c.folder, "peer.key"), filepath.Join(c.folder, "operators"), filepath.Join(c.folder, "session.key"),
			state, strings.Join(names, ", ")))
	}
	return c
}

func writeFile(t testing.TB, folder, name, text string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	assert.NilError(t, os.WriteFile(path, []byte(text+"\n"), 0o600))
	return path
}

// givenAddresses are the addresses that freeAddress has returned.
var givenAddresses sync.Map

// freeAddress returns an unused address, another one at each call, on a loopback IP that only
// this process uses, so that no other process binds it before the daemon listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff))
		assert.NilError(t, err)
		address := l.Addr().String()
		assert.NilError(t, l.Close())
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

// Guards against two servers of a cluster that get the same address, so that a daemon ends
// before it serves.
func TestFreeAddressesDiffer(t *testing.T) {
	given := make(map[string]bool)
	for range 2000 {
		address := freeAddress(t)
		assert.Assert(t, !given[address], "%s twice", address)
		given[address] = true
	}
}

// withRatings runs a simulated rating service for daemons that are not started yet.
func (c *cluster) withRatings(quality map[string]float64) {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	mux := http.NewServeMux()
	mux.Handle(dhpbconnect.NewRatingServiceHandler(&dhengine.Rater{Quality: quality}))
	server := dhengine.NewHTTPServer(mux)
	c.group.Go(func(context.Context) error { _ = server.Serve(listener); return nil })
	c.t.Cleanup(func() { _ = server.Close() })
	for _, d := range c.daemons {
		data, err := os.ReadFile(d.settings)
		assert.NilError(c.t, err)
		rating := fmt.Sprintf(`"rating": {"address": %q, "per-second": 1000}, "state":`, listener.Addr().String())
		assert.NilError(c.t, os.WriteFile(d.settings, []byte(strings.Replace(string(data), `"state":`, rating, 1)), 0o600))
	}
}

// start runs daemon i and waits until it serves.
func (c *cluster) start(i int) *daemon {
	c.t.Helper()
	d := c.daemons[i]
	d.serving, d.exited = make(chan struct{}), make(chan struct{})
	d.process = exec.Command(os.Args[0], append([]string{"run", d.settings}, c.flags...)...)
	d.process.Env = append(os.Environ(), runMain+"=1")
	stderr, err := d.process.StderrPipe()
	assert.NilError(c.t, err)
	assert.NilError(c.t, d.process.Start())
	process, exited := d.process, d.exited
	c.group.Go(func(context.Context) error {
		defer close(exited)
		c.readLog(d, bufio.NewScanner(stderr))
		d.exit = process.Wait()
		return nil
	})
	c.t.Cleanup(func() {
		_ = process.Process.Kill()
		<-exited // the daemon writes into the folder until then
	})
	return d
}

// readLog reads a daemon's log until its end.
func (c *cluster) readLog(d *daemon, lines *bufio.Scanner) {
	waitingToServe := true
	for lines.Scan() {
		d.log.WriteString(lines.Text() + "\n")
		if testing.Verbose() {
			fmt.Println(lines.Text())
		}
		if waitingToServe && strings.Contains(lines.Text(), "msg=serving") {
			close(d.serving)
			waitingToServe = false
		}
	}
}

// startAll runs all daemons and waits until they serve.
func (c *cluster) startAll() {
	c.t.Helper()
	for i := range c.daemons {
		c.start(i)
	}
	for _, d := range c.daemons {
		select {
		case <-d.serving:
		case <-d.exited:
			c.t.Fatalf("daemon ended before it served: %v\n%s", d.exit, d.log.String())
		}
	}
}

func waitClosed(t testing.TB, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-t.Context().Done():
		t.Fatal("test ended while waiting for a daemon")
	}
}

// stop sends SIGTERM and returns the exit error.
func (c *cluster) stop(d *daemon) error {
	c.t.Helper()
	assert.NilError(c.t, d.process.Process.Signal(syscall.SIGTERM))
	waitClosed(c.t, d.exited)
	return d.exit
}

// backend starts a simulated backend server that announces itself to all daemons.
func (c *cluster) backend(id, pool string, kind dhtable.PoolKind, versions ...dhtable.Version) *dhengine.Model {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	m := &dhengine.Model{
		Timers: dhtimer.NewSystem(), ID: id, Address: listener.Addr().String(), Zone: "mrc-a", Pool: pool, Kind: kind,
		Versions: versions, Incarnation: 1, Seed: 1, Slots: 64,
	}
	m.Start()
	mux := http.NewServeMux()
	mux.Handle((&dhengine.Server{Model: m}).Handler())
	server := dhengine.NewHTTPServer(mux)
	var entries []string
	for _, d := range c.daemons {
		entries = append(entries, "http://"+d.peers)
	}
	announcer := &dhengine.Announcer{Model: m, Timers: m.Timers, Entries: entries, PeerKey: peerKey}
	c.group.Go(func(context.Context) error { _ = server.Serve(listener); return nil })
	c.group.Go(announcer.Run)
	announcer.AnnounceOnce(c.t.Context())
	c.t.Cleanup(func() { _ = server.Close() })
	c.models[id] = m
	return m
}

func operatorClient(d *daemon, key string) dhpbconnect.OperatorServiceClient {
	return dhpbconnect.NewOperatorServiceClient(dhengine.NewHTTPClient(), "http://"+d.operators, dhwire.WithKey(key))
}

func callerClient(d *daemon, key string) dhpbconnect.RouterServiceClient {
	return dhpbconnect.NewRouterServiceClient(dhengine.NewHTTPClient(), "http://"+d.callers, dhwire.WithKey(key))
}

func announceClient(d *daemon, key string) dhpbconnect.AnnounceServiceClient {
	return dhpbconnect.NewAnnounceServiceClient(dhengine.NewHTTPClient(), "http://"+d.peers, dhwire.WithKey(key))
}
