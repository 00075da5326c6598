package dhcapacity_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhanswer"
	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhengine"
	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmember"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpeer"
	"dandelionhoist.example/dh/dhtimer"
)

// peerServer answers gossip and counts the bytes of its connections.
type peerServer struct {
	dhpb.PeerService
	bytes atomic.Int64
}

func (*peerServer) Gossip(context.Context, *dhpb.GossipMessage) (*dhpb.GossipMessage, error) {
	return &dhpb.GossipMessage{From: "vm-0002", Revision: 9}, nil
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// start serves on loopback until the test ends.
func (s *peerServer) start(t *testing.T) string {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := dhengine.NewHTTPServer(dhpb.NewPeerServiceServer(s))
	group := dhgroup.New(t.Context())
	group.Go(func(context.Context) error { _ = server.Serve(countedListener{listener, &s.bytes}); return nil })
	t.Cleanup(func() {
		_ = server.Close()
		assert.NilError(t, group.Wait())
	})
	return listener.Addr().String()
}

// Guards against HTTP between entry VMs that costs more than the messages. CPU
// is that of both sides.
func TestExchangeSlopes(t *testing.T) {
	slow(t)
	for _, size := range []int{100, 1000, 10_000} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			s := &peerServer{}
			address := s.start(t)
			client := &dhpeer.Client{Key: strings.Repeat("k", 32)}
			msg := &dhpb.GossipMessage{From: "vm-0001", Members: []*dhpb.MemberRecord{{Name: strings.Repeat("n", size)}}}
			const count = 2000
			var before int64
			var spent time.Duration
			for i := range count + 100 {
				if i == 100 { // connected
					before, spent = s.bytes.Load(), cpu()
				}
				_, err := client.Gossip(t.Context(), address, msg)
				assert.NilError(t, err)
			}
			spent = cpu() - spent
			own := proto.Size(msg) + proto.Size(&dhpb.GossipMessage{From: "vm-0002", Revision: 9})
			fmt.Printf("slope name=exchange size=%d overhead_bytes=%.1f cpu_us=%.1f\n", size,
				float64(s.bytes.Load()-before)/count-float64(own), float64(spent.Microseconds())/count)
		})
	}
}

// Guards against connections to all members that do not fit in the memory and
// bytes of control. Memory is that of both sides.
func TestConnectionSlopes(t *testing.T) {
	slow(t)
	const idle = 6 * time.Second
	for _, count := range []int{10, 50, 200} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			client := &dhpeer.Client{Key: strings.Repeat("k", 32)}
			servers := make([]*peerServer, count)
			var addresses []string
			for i := range servers {
				servers[i] = &peerServer{}
				addresses = append(addresses, servers[i].start(t))
			}
			var first, last runtime.MemStats
			before := heap()
			runtime.ReadMemStats(&first)
			for _, address := range addresses {
				_, err := client.Gossip(t.Context(), address, &dhpb.GossipMessage{From: "vm-0001"})
				assert.NilError(t, err)
			}
			used := heap() - before
			runtime.ReadMemStats(&last)
			used += float64(last.StackInuse) - float64(first.StackInuse)
			bytes := int64(0)
			for _, s := range servers {
				bytes -= s.bytes.Load()
			}
			time.Sleep(idle)
			for _, s := range servers {
				bytes += s.bytes.Load()
			}
			fmt.Printf("slope name=connection size=%d memory_bytes=%.0f idle_bytes_s=%.1f\n", count, used, float64(bytes)/idle.Seconds())
		})
	}
}

// Guards against a source of backend records whose answers grow with the
// number of backend servers.
func TestSourceSlopes(t *testing.T) {
	slow(t)
	for _, backends := range []int{512, 1700, 4800} {
		t.Run(strconv.Itoa(backends), func(_ *testing.T) {
			timers := dhtimer.NewStepped()
			before := heap()
			source := &dhbackend.Digest{Timers: timers, Name: "control-1", Zone: "zone-0", Sources: []string{"control-1"}, MaxBackends: 5000}
			const seconds = 10
			bytes, spentAnswers, spentAnnounced := 0, time.Duration(0), time.Duration(0)
			const answers = 100
			for sequence := range uint64(seconds) {
				start := cpu()
				for i := range backends {
					source.Announced(&dhpb.BackendRecord{
						Id: fmt.Sprintf("llm-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Zone: fmt.Sprintf("zone-%d", i%7),
						Pool: "atelier-llm", State: "ready", Slots: 512, Running: int32(300 + i%32), Waiting: 3, Sequence: sequence + 1 + uint64(i%5), Incarnation: 1,
						Versions: []*dhpb.LoadedVersion{{Model: "oak", Version: fmt.Sprintf("v%d", i%19)}},
					})
				}
				spentAnnounced += cpu() - start
				timers.Step(200 * time.Millisecond)
				start = cpu()
				for vm := range answers {
					msg := new(dhpb.GossipMessage)
					source.Fill(dhmember.Member{Name: fmt.Sprintf("vm-%04d", vm), Zone: "zone-0"}, msg)
					bytes += proto.Size(msg)
				}
				spentAnswers += cpu() - start
				timers.Step(800 * time.Millisecond)
			}
			fmt.Printf("slope name=source size=%d answer_bytes=%.0f answer_cpu_us=%.1f announcement_cpu_us=%.2f heap_bytes=%.0f\n", backends,
				float64(bytes)/seconds/answers, float64(spentAnswers.Microseconds())/seconds/answers,
				float64(spentAnnounced.Microseconds())/seconds/float64(backends), heap()-before)
			runtime.KeepAlive(source)
		})
	}
}

// Guards against answers kept for resuming that need more memory than the page
// says. It runs in a process of its own: memory that earlier tests free late
// made 4,000 answers look smaller than their text.
func TestAnswerMemory(t *testing.T) {
	slow(t)
	for _, count := range []int{500, 1000, 4000} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			before := heap()
			timers := dhtimer.NewStepped()
			table := &dhanswer.Table{Timers: timers, MaxAnswers: 4096, MaxBytes: 1 << 20, Keep: time.Minute}
			for i := range count {
				id := fmt.Sprintf("0d7c5a3e-%08d-4b", i)
				a, _, err := table.Create("account-07", id, 1)
				assert.NilError(t, err)
				a.StartAttempt(1, "model-07", "v1")
				offset := 0
				for range 338 {
					assert.NilError(t, a.Append(&dhpb.Chunk{RequestId: id, Attempt: 1, Offset: int64(offset), Text: "token ", Tokens: 1}))
					offset += len("token ")
				}
			}
			fmt.Printf("slope name=answer size=%d heap_bytes=%.0f\n", count, heap()-before)
			runtime.KeepAlive(table)
		})
	}
}
