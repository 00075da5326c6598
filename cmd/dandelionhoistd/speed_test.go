package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhwire"
)

// fixedRateEngine streams tokens at a fixed rate, so that a difference in latency
// between the direct and the routed path is due to the router.
type fixedRateEngine struct {
	dhpbconnect.UnimplementedEngineServiceHandler
	tokenInterval time.Duration
}

func (e fixedRateEngine) Generate(ctx context.Context, req *dhpb.GenerateRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	ticker := time.NewTicker(e.tokenInterval)
	defer ticker.Stop()
	offset := int64(0)
	for n := int32(1); ; n++ {
		c := &dhpb.Chunk{
			RequestId: req.GetRequestId(), Attempt: req.GetAttempt(), Offset: offset, Text: "token ", Tokens: 1,
			Last: n >= req.GetMaxTokens(),
		}
		if err := stream.Send(c); err != nil || c.Last {
			return err
		}
		offset += int64(len(c.Text))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

const benchmarkTables = `{"format": 1,
 "routes": {"accounts": {"crew-east": {"key-hashes": [%q]}},
  "routes": {"ask": {"pool": "p", "repeatable": true, "class": "c", "deadline": "60s", "max-tokens": 100000,
   "cascade": ["oak"], "allow": {"crew-east": ["oak/*"]}}}},
 "pools": {"zones": {"mrc-a": {}}, "pools": {"p": {"kind": "engine",
  "models": {"oak": {"cost-per-1000-tokens": 1, "versions": {"v1": {"stage": "stable", "share": 100, "replicas": 1}}}}}}}}`

// newBenchmarkCluster runs one daemon process that routes to a fixedRateEngine.
func newBenchmarkCluster(b *testing.B, tokenInterval time.Duration) (d *daemon, engine dhpbconnect.EngineServiceClient) {
	c := newCluster(b, 1, 1)
	c.startAll()
	d = c.daemons[0]
	_, err := d.operator.EditTables(b.Context(), &dhpb.EditTablesRequest{
		EditId: "e", Tables: fmt.Appendf(nil, benchmarkTables, dhtable.HashKey(callerKey).String()),
	})
	assert.NilError(b, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	mux := http.NewServeMux()
	mux.Handle(dhpbconnect.NewEngineServiceHandler(fixedRateEngine{tokenInterval: tokenInterval}))
	server := dhengine.NewHTTPServer(mux)
	server.HTTP2.MaxConcurrentStreams = 10000
	c.group.Go(func(context.Context) error { _ = server.Serve(listener); return nil })
	b.Cleanup(func() { _ = server.Close() })
	address := listener.Addr().String()
	announce := announceClient(d, peerKey)
	c.group.Go(func(ctx context.Context) error {
		for n := uint64(1); ctx.Err() == nil; n++ {
			_, _ = announce.Announce(ctx, &dhpb.AnnounceRequest{Backend: &dhpb.BackendRecord{
				Id: "b1", Address: address, Zone: "mrc-a", Pool: "p", State: "ready", Slots: 4096, Sequence: n, Incarnation: 1,
				Versions: []*dhpb.LoadedVersion{{Model: "oak", Version: "v1"}},
			}})
			time.Sleep(500 * time.Millisecond)
		}
		return nil
	})
	waitForPool(b, d, "p")
	return d, dhpbconnect.NewEngineServiceClient(dhengine.NewHTTPClient(), "http://"+address)
}

type latencies struct {
	mu   sync.Mutex
	list []time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, d)
}

func (l *latencies) p95() time.Duration {
	slices.Sort(l.list)
	return l.list[len(l.list)*95/100]
}

// measureStream reads a stream and records the time to the first token and the
// times between tokens.
func measureStream(open func() (*connect.ServerStreamForClient[dhpb.Chunk], error), first, between *latencies, tokens *atomic.Int64) error {
	start := time.Now()
	stream, err := open()
	if err != nil {
		return err
	}
	last := time.Time{}
	for stream.Receive() {
		now := time.Now()
		if stream.Msg().GetText() == "" {
			continue
		}
		if last.IsZero() {
			first.add(now.Sub(start))
		} else {
			between.add(now.Sub(last))
		}
		last = now
		tokens.Add(int64(stream.Msg().GetTokens()))
	}
	return stream.Err()
}

// Measures the time that routing adds to the first token and between tokens,
// at 200 requests per second, compared with the direct path in the same run.
func BenchmarkAddedLatency(b *testing.B) {
	const rate, tokens = 200, 20
	d, engine := newBenchmarkCluster(b, 20*time.Millisecond)
	var first, between [2]latencies
	var count atomic.Int64
	for b.Loop() {
		group := dhgroup.New(b.Context())
		ticker := time.NewTicker(time.Second / rate)
		for n := range 3 * rate {
			<-ticker.C
			group.Go(func(ctx context.Context) error {
				return measureStream(func() (*connect.ServerStreamForClient[dhpb.Chunk], error) {
					return engine.Generate(ctx, &dhpb.GenerateRequest{RequestId: strconv.Itoa(n), Model: "oak", Version: "v1", MaxTokens: tokens, Prompt: "p"})
				}, &first[0], &between[0], &count)
			})
			group.Go(func(ctx context.Context) error {
				return measureStream(func() (*connect.ServerStreamForClient[dhpb.Chunk], error) {
					return d.router.Stream(ctx, &dhpb.AskRequest{Route: "ask", Prompt: "p", MaxTokens: tokens})
				}, &first[1], &between[1], &count)
			})
		}
		ticker.Stop()
		assert.NilError(b, group.Wait())
	}
	b.ReportMetric(ms(first[1].p95()-first[0].p95()), "added-first-token-p95-ms")
	b.ReportMetric(ms(between[1].p95()-between[0].p95()), "added-between-tokens-p95-ms")
	b.ReportMetric(ms(first[0].p95()), "direct-first-token-p95-ms")
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Measures the CPU time of a daemon that relays 13,000 tokens per second.
func BenchmarkRelay(b *testing.B) {
	for _, streams := range []int{60, 120, 240, 480} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) { benchmarkRelay(b, streams) })
	}
}

func benchmarkRelay(b *testing.B, streams int) {
	const tokenInterval = 18 * time.Millisecond
	const tokens = 200
	d, _ := newBenchmarkCluster(b, tokenInterval)
	var first, between latencies
	var count atomic.Int64
	if path := os.Getenv("DANDELIONHOIST_PROFILE"); path != "" {
		writeCPUProfile(b, d, path)
	}
	start, cpu := time.Now(), cpuTime(b, d)
	for b.Loop() {
		group := dhgroup.New(b.Context())
		for range streams {
			group.Go(func(ctx context.Context) error {
				return measureStream(func() (*connect.ServerStreamForClient[dhpb.Chunk], error) {
					return d.router.Stream(ctx, &dhpb.AskRequest{Route: "ask", Prompt: "p", MaxTokens: tokens})
				}, &first, &between, &count)
			})
		}
		assert.NilError(b, group.Wait())
	}
	elapsed := time.Since(start).Seconds()
	b.ReportMetric(float64(count.Load())/elapsed, "tokens/s")
	b.ReportMetric((cpuTime(b, d)-cpu).Seconds()/elapsed, "cores")
	b.ReportMetric(float64((cpuTime(b, d)-cpu).Microseconds())/float64(count.Load()), "µs/token")
}

// Measures the CPU time of a daemon per request, by tokens per answer.
func BenchmarkRequestTokens(b *testing.B) {
	for _, tokens := range []int32{1, 50, 200} {
		b.Run(strconv.Itoa(int(tokens)), func(b *testing.B) { benchmarkRequests(b, tokens) })
	}
}

func benchmarkRequests(b *testing.B, tokens int32) {
	const callers, each = 40, 20
	d, _ := newBenchmarkCluster(b, 2*time.Millisecond)
	var first, between latencies
	var count atomic.Int64
	cpu, requests := cpuTime(b, d), 0
	for b.Loop() {
		group := dhgroup.New(b.Context())
		for range callers {
			group.Go(func(ctx context.Context) error {
				for range each {
					if err := measureStream(func() (*connect.ServerStreamForClient[dhpb.Chunk], error) {
						return d.router.Stream(ctx, &dhpb.AskRequest{Route: "ask", Prompt: "p", MaxTokens: tokens})
					}, &first, &between, &count); err != nil {
						return err
					}
				}
				return nil
			})
		}
		assert.NilError(b, group.Wait())
		requests += callers * each
	}
	b.ReportMetric(float64((cpuTime(b, d)-cpu).Microseconds())/float64(requests), "µs/request")
	b.ReportMetric(float64(count.Load())/float64(requests), "tokens/request")
}

// writeCPUProfile writes a CPU profile of the daemon's next 3 seconds to a file.
func writeCPUProfile(b *testing.B, d *daemon, path string) {
	b.Helper()
	group := dhgroup.New(b.Context())
	b.Cleanup(func() { assert.NilError(b, group.Wait()) })
	group.Go(func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.operators+"/debug/pprof/profile?seconds=3", nil)
		if err != nil {
			return err
		}
		dhwire.SetKey(req.Header, operatorKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		return os.WriteFile(path, data, 0o600)
	})
}

// cpuTime returns the user and system CPU time of a daemon process.
func cpuTime(b *testing.B, d *daemon) time.Duration {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.process.Process.Pid))
	assert.NilError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(b, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(b, err)
	const ticksPerSecond = 100
	return time.Duration(user+system) * time.Second / ticksPerSecond
}
