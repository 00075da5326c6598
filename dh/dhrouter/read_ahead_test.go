package dhrouter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhgroup"
)

// blockedCaller is a caller who reads nothing until released is closed.
type blockedCaller struct {
	header   http.Header
	released chan struct{}
	body     bytes.Buffer
}

func (c *blockedCaller) Header() http.Header { return c.header }
func (c *blockedCaller) WriteHeader(int)     {}
func (c *blockedCaller) Flush()              {}

// Write implements io.Writer.
func (c *blockedCaller) Write(p []byte) (int, error) {
	<-c.released
	return c.body.Write(p)
}

// Guards against an answer that its backend server cuts off because the entry VM leaves it
// unread while the caller reads slowly, against buffers without a bound, and against memory
// that is not returned.
func TestSlowCallerIsReadAhead(t *testing.T) {
	const memory = 1 << 20
	for name, c := range map[string]struct {
		route  string
		size   int
		memory int64
		// read is the number of bytes that the backend server has sent at least while the
		// caller is blocked.
		read int
		// ends is set if the caller leaves.
		ends bool
	}{
		"stream":                 {"plan", 100 << 10, memory, 100 << 10, false},
		"long stream":            {"plan", 500 << 10, memory, maxReadAheadBytes, false},
		"little memory":          {"plan", 100 << 10, 40 << 10, 32 << 10, false},
		"no memory":              {"plan", 100 << 10, 1000, 0, false},
		"the caller leaves":      {"plan", 500 << 10, memory, maxReadAheadBytes, true},
		"passed through":         {"order", 200 << 10, 80 << 10, 60 << 10, false},
		"passed through, leaves": {"order", 500 << 10, 80 << 10, 60 << 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent atomic.Int64
				var want strings.Builder
				f := newTestRouter(t, func(ctx context.Context, o *Outbound) (*Inbound, error) {
					from, to := io.Pipe()
					for id := 1; want.Len() < c.size; id++ {
						fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 300))
					}
					text := want.String()
					group := dhgroup.New(t.Context())
					group.Go(func(context.Context) error {
						for len(text) > 0 {
							n, err := to.Write([]byte(text[:min(len(text), 1000)]))
							sent.Add(int64(n))
							if err != nil {
								return nil // the answer is not read any more
							}
							text = text[n:]
						}
						return to.Close()
					})
					context.AfterFunc(ctx, func() { _ = from.CloseWithError(context.Cause(ctx)) })
					return &Inbound{
						Status: 200, Header: http.Header{}, Body: from, Length: -1, RequestID: o.ID, Sealed: true, Events: c.route == "plan", Confidence: -1,
					}, nil
				})
				f.AnswerMemory.Max = c.memory
				caller := &blockedCaller{header: http.Header{}, released: make(chan struct{})}
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				ended, model := make(chan error, 1), map[string]string{"plan": "*"}[c.route]
				group := dhgroup.New(t.Context())
				group.Go(func(context.Context) error {
					_, err := f.Forward(ctx, &Message{
						ID: "r1", Method: "GET", Host: "h", Path: "/" + c.route + "/", Target: "/" + c.route + "/", Key: "key", Model: model, AnyModel: model != "", TimeLeft: 20 * time.Second,
					}, caller)
					ended <- err
					return nil
				})
				for range 40 { // 8 s, longer than a silent backend server is waited for
					synctest.Wait()
					f.timers.Step(200 * time.Millisecond)
				}
				synctest.Wait()
				assert.Assert(t, int(sent.Load()) >= min(c.read, want.Len()), "%d bytes read", sent.Load())
				held := int64(maxReadAheadBytes)
				assert.Assert(t, sent.Load() <= min(held, c.memory)+100<<10, "%d bytes held", sent.Load())
				if c.ends {
					leave()
					synctest.Wait() // the write must not go on before the cancellation is seen
				}
				close(caller.released)
				err := <-ended
				synctest.Wait()
				assert.Equal(t, err != nil, c.ends, "%v", err)
				assert.Assert(t, c.ends || caller.body.String() == want.String(), "%d of %d bytes", caller.body.Len(), want.Len())
				assert.Assert(t, f.AnswerMemory.Reserve(c.memory), "memory is lost")
				assert.Equal(t, len(f.transport.sent), 1, "the slow caller counts as a silent backend server")
			})
		})
	}
}
