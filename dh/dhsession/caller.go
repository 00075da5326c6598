package dhsession

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhserver"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

// Request is what a caller asks. Session names a session whose token the
// caller keeps; Key is the idempotency key.
type Request struct {
	ID, Account, Route, Key, Session, Prompt string
	MaxTokens                                int
	Unary                                    bool
	Deadline                                 time.Duration
	// GiveUp is when the caller closes its connection; 0 means never.
	GiveUp time.Duration
}

// caller is what a caller holds of a request.
type caller struct {
	text string
	done bool
}

// Reply is the end of one call of a caller.
type Reply struct {
	Request
	VM         string
	Start, End time.Time
	// Resumed is set for a call of Resume; From is its offset.
	Resumed bool
	From    int
	// Text is what the caller holds at the end of the call, from offset 0.
	Text   string
	Chunks int
	// Gap is set when a chunk did not continue the text.
	Gap bool
	// Complete is set when the whole answer arrived.
	Complete        bool
	Code            dhcode.Code
	Ran             dhcode.Ran
	RetryAfter      time.Duration
	Version         string
	Moved, Replayed bool
	// Lost is set when the connection to the VM broke.
	Lost bool
}

var errLost = errors.New("the connection to the entry VM broke")

// Ask sends a request to a VM, or, with resume set, asks it for the rest of the
// answer. Then runs when the call has ended; it may be nil.
func (w *World) Ask(vm string, q Request, resume bool, then func(*Reply)) {
	w.mu.Lock()
	c := w.callers[q.ID]
	if c == nil {
		c = &caller{}
		w.callers[q.ID] = c
	}
	if !resume {
		c.text = ""
	}
	token := w.tokens[q.Session]
	reply := &Reply{Request: q, VM: vm, Start: w.Timers.Now(), Resumed: resume, From: len(c.text), Text: c.text}
	w.mu.Unlock()
	w.Facts.asked(reply)
	r := w.vms[vm].up()
	w.group.Go(func(ctx context.Context) error {
		var err error
		if r == nil {
			err = errLost
			reply.Ran = dhcode.NotRun
		} else {
			err = w.call(ctx, r, reply, c, token)
		}
		reply.finish(err, w.Timers.Now())
		if reply.Complete {
			w.mu.Lock()
			c.done = true
			w.mu.Unlock()
		}
		w.Facts.replied(reply)
		if then != nil {
			then(reply)
		}
		return nil
	})
	synctest.Wait()
}

func (r *Reply) finish(err error, now time.Time) {
	r.End = now
	if err == nil {
		return
	}
	r.Lost = errors.Is(err, errLost)
	if r.Lost {
		r.Code = dhcode.StreamBroken
		return
	}
	coded := dhwire.FromConnect(err)
	r.Code, r.Ran, r.RetryAfter = dhcode.Of(coded), dhcode.RanOf(coded), dhcode.RetryAfterOf(coded)
}

func (w *World) call(ctx context.Context, r *run, reply *Reply, c *caller, token string) error {
	q := reply.Request
	client := dhpbconnect.NewRouterServiceClient(
		&http.Client{Transport: &transport{world: w, run: r, key: w.key(q.Account)}}, "http://"+reply.VM,
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	if q.GiveUp > 0 {
		var cancel context.CancelFunc
		ctx, cancel = dhtimer.WithTimeout(ctx, w.Timers, q.GiveUp)
		defer cancel()
	}
	if reply.Resumed {
		stream, err := client.Resume(ctx, &dhpb.ResumeRequest{RequestId: q.ID, Offset: int64(reply.From)})
		return w.follow(reply, c, stream, err)
	}
	ask := &dhpb.AskRequest{
		Route: q.Route, Prompt: q.Prompt, RequestId: q.ID, IdempotencyKey: q.Key, SessionId: q.Session,
		SessionToken: token, MaxTokens: int32(q.MaxTokens),
	}
	if q.Deadline > 0 {
		ask.Deadline = durationpb.New(q.Deadline)
	}
	if !q.Unary {
		stream, err := client.Stream(ctx, ask)
		return w.follow(reply, c, stream, err)
	}
	answer, err := client.Ask(ctx, ask)
	if err != nil {
		return err
	}
	reply.Text, reply.Complete, reply.Version = answer.GetText(), true, answer.GetModel()+"/"+answer.GetVersion()
	reply.Moved, reply.Replayed = answer.GetSessionMoved(), answer.GetReplayed()
	w.keepToken(q.Session, answer.GetSessionToken())
	return nil
}

// follow reads a stream to its end.
func (w *World) follow(reply *Reply, c *caller, stream *connect.ServerStreamForClient[dhpb.Chunk], err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		m := stream.Msg()
		reply.Chunks++
		if m.GetOffset() != int64(len(reply.Text)) || reply.Complete || m.GetRequestId() != reply.ID {
			reply.Gap = true
		}
		reply.Text += m.GetText()
		if m.GetLast() {
			reply.Complete, reply.Version = true, m.GetModel()+"/"+m.GetVersion()
			reply.Moved, reply.Replayed = m.GetSessionMoved(), m.GetReplayed()
			w.keepToken(reply.Session, m.GetSessionToken())
		}
	}
	w.mu.Lock()
	c.text = reply.Text
	w.mu.Unlock()
	if stream.Err() != nil {
		return stream.Err()
	}
	if !reply.Complete {
		return errLost
	}
	return nil
}

func (w *World) key(account string) string {
	if key, ok := w.Keys[account]; ok {
		return key
	}
	return account
}

func (w *World) keepToken(session, token string) {
	if session == "" || token == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens[session] = token
}

// transport carries a caller's call to the handler of a run in memory.
type transport struct {
	world *World
	run   *run
	key   string
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	body, writer := io.Pipe()
	w := &responseWriter{header: make(http.Header), body: writer, ready: make(chan struct{})}
	request := r.WithContext(ctx)
	request.Header = r.Header.Clone()
	dhwire.SetKey(request.Header, t.key)
	handler := dhserver.CallerHandler(t.run.callers, t.run.daemon.Settings.Limits.RequestBytes)
	served := make(chan struct{})
	t.run.open.Add(1)
	t.world.group.Go(func(context.Context) error {
		defer cancel()
		defer close(served)
		defer t.run.open.Add(-1)
		handler.ServeHTTP(w, request)
		w.WriteHeader(http.StatusOK)
		return writer.Close()
	})
	t.world.group.Go(func(context.Context) error {
		select {
		case <-t.run.down:
			_ = writer.CloseWithError(errLost)
			cancel()
		case <-served:
		}
		return nil
	})
	select {
	case <-w.ready:
	case <-t.run.down:
		return nil, errLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &http.Response{
		Status: fmt.Sprint(w.status), StatusCode: w.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.sent, Body: body, Request: r, ContentLength: -1,
	}, nil
}

// responseWriter is an http.ResponseWriter over a pipe.
type responseWriter struct {
	header, sent http.Header
	body         *io.PipeWriter
	ready        chan struct{}
	status       int
	once         sync.Once
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status, w.sent = status, w.header.Clone()
		close(w.ready)
	})
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() { w.WriteHeader(http.StatusOK) }
