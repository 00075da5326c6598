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

// Request is a request of a caller. Session is the id of a session whose token
// the caller stores. Key is the idempotency key.
type Request struct {
	ID, Account, Route, Key, Session, Prompt string
	MaxTokens                                int
	Unary                                    bool
	Deadline                                 time.Duration
	// DisconnectAfter is the time after which the caller closes its connection; 0 means
	// never.
	DisconnectAfter time.Duration
}

// callerState is what a caller has received for a request.
type callerState struct {
	text string
	done bool
}

// Reply is the outcome of one call of a caller.
type Reply struct {
	Request
	VM         string
	Start, End time.Time
	// Resumed is set if the call is a Resume; From is its offset.
	Resumed bool
	From    int
	// Text is the whole text that the caller has at the end of the call, from
	// offset 0.
	Text   string
	Chunks int
	// Gap is set if a chunk did not start where the text ended.
	Gap bool
	// Complete is set if the whole answer arrived.
	Complete        bool
	Code            dhcode.Code
	Ran             dhcode.Ran
	RetryAfter      time.Duration
	Version         string
	Moved, Replayed bool
	// Lost is set if the connection to the VM broke.
	Lost bool
}

var errConnectionLost = errors.New("the connection to the entry VM broke")

// Ask sends a request to a VM or, if resume is set, requests the rest of its
// answer. It calls onEnd, which may be nil, when the call has ended.
func (w *Simulation) Ask(vm string, q Request, resume bool, onEnd func(*Reply)) {
	w.mu.Lock()
	c := w.callers[q.ID]
	if c == nil {
		c = &callerState{}
		w.callers[q.ID] = c
	}
	if !resume {
		c.text = ""
	}
	token := w.tokens[q.Session]
	reply := &Reply{Request: q, VM: vm, Start: w.Timers.Now(), Resumed: resume, From: len(c.text), Text: c.text}
	w.mu.Unlock()
	w.History.recordCall(reply)
	r := w.vms[vm].up()
	w.group.Go(func(ctx context.Context) error {
		var err error
		if r == nil {
			err = errConnectionLost
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
		w.History.recordReply(reply)
		if onEnd != nil {
			onEnd(reply)
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
	r.Lost = errors.Is(err, errConnectionLost)
	if r.Lost {
		r.Code = dhcode.StreamBroken
		return
	}
	coded := dhwire.FromConnect(err)
	r.Code, r.Ran, r.RetryAfter = dhcode.Of(coded), dhcode.RanOf(coded), dhcode.RetryAfterOf(coded)
}

func (w *Simulation) call(ctx context.Context, r *run, reply *Reply, c *callerState, token string) error {
	q := reply.Request
	client := dhpbconnect.NewRouterServiceClient(
		&http.Client{Transport: &transport{sim: w, run: r, key: w.key(q.Account)}}, "http://"+reply.VM,
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	if q.DisconnectAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = dhtimer.WithTimeout(ctx, w.Timers, q.DisconnectAfter)
		defer cancel()
	}
	if reply.Resumed {
		stream, err := client.Resume(ctx, &dhpb.ResumeRequest{RequestId: q.ID, Offset: int64(reply.From)})
		return w.readStream(reply, c, stream, err)
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
		return w.readStream(reply, c, stream, err)
	}
	answer, err := client.Ask(ctx, ask)
	if err != nil {
		return err
	}
	reply.Text, reply.Complete, reply.Version = answer.GetText(), true, answer.GetModel()+"/"+answer.GetVersion()
	reply.Moved, reply.Replayed = answer.GetSessionMoved(), answer.GetReplayed()
	w.storeToken(q.Session, answer.GetSessionToken())
	return nil
}

// readStream reads a stream to its end and stores the result in reply and c.
func (w *Simulation) readStream(reply *Reply, c *callerState, stream *connect.ServerStreamForClient[dhpb.Chunk], err error) error {
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
			w.storeToken(reply.Session, m.GetSessionToken())
		}
	}
	w.mu.Lock()
	c.text = reply.Text
	w.mu.Unlock()
	if stream.Err() != nil {
		return stream.Err()
	}
	if !reply.Complete {
		return errConnectionLost
	}
	return nil
}

func (w *Simulation) key(account string) string {
	if key, ok := w.Keys[account]; ok {
		return key
	}
	return account
}

func (w *Simulation) storeToken(session, token string) {
	if session == "" || token == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens[session] = token
}

// transport passes a call in memory to the handler of a run.
type transport struct {
	sim *Simulation
	run *run
	key string
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
	t.run.openCalls.Add(1)
	t.sim.group.Go(func(context.Context) error {
		defer cancel()
		defer close(served)
		defer t.run.openCalls.Add(-1)
		handler.ServeHTTP(w, request)
		w.WriteHeader(http.StatusOK)
		return writer.Close()
	})
	t.sim.group.Go(func(context.Context) error {
		select {
		case <-t.run.down:
			_ = writer.CloseWithError(errConnectionLost)
			cancel()
		case <-served:
		}
		return nil
	})
	select {
	case <-w.ready:
	case <-t.run.down:
		return nil, errConnectionLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return &http.Response{
		Status: fmt.Sprint(w.status), StatusCode: w.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.sent, Body: body, Request: r, ContentLength: -1,
	}, nil
}

// responseWriter is an http.ResponseWriter that writes the body to a pipe.
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
