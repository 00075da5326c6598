package main

import (
	"context"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

// fakeRouter is one entry VM; the VMs of a test share a fakeState.
type fakeRouter struct {
	dhpbconnect.UnimplementedRouterServiceHandler
	dhpbconnect.UnimplementedOperatorServiceHandler
	state *fakeState
}

// fakeState keeps answers and bills. Fault names what is done wrong.
type fakeState struct {
	mu      sync.Mutex
	fault   string
	answers map[string]string // by request id
	bills   []*dhpb.Bill
}

func (s *fakeState) text(r *dhpb.AskRequest) string {
	return strings.Repeat(r.GetRequestId()+" ", 1+int(r.GetMaxTokens())/8)
}

// take bills a request once and returns its answer and whether it is a replay.
func (s *fakeState) take(ctx context.Context, r *dhpb.AskRequest) (text string, replayed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.answers[r.GetRequestId()]
	if key := r.GetIdempotencyKey(); key != "" && known && s.fault != "order runs twice" {
		return s.answers[r.GetRequestId()], true, nil
	}
	info, _ := connect.CallInfoForHandlerContext(ctx)
	bill := &dhpb.Bill{
		RequestId: r.GetRequestId(), Account: dhwire.KeyOf(info.RequestHeader()), IdempotencyKey: r.GetIdempotencyKey(), Cost: 1,
	}
	if s.fault == "refusal" || s.fault == "billed refusal" {
		if s.fault == "billed refusal" {
			s.bills = append(s.bills, bill)
		}
		return "", false, dhwire.ToConnect(dhcode.Errorf(dhcode.QueueFull, "queue"))
	}
	if !known && s.fault != "no bill" {
		s.bills = append(s.bills, bill)
	}
	if s.fault == "billed twice" {
		s.bills = append(s.bills, bill)
	}
	s.answers[r.GetRequestId()] = s.text(r)
	if s.fault == "lost answers" && !known && len(s.answers)%3 == 0 {
		panic(http.ErrAbortHandler)
	}
	return s.answers[r.GetRequestId()], false, nil
}

func (f *fakeRouter) Ask(ctx context.Context, r *dhpb.AskRequest) (*dhpb.AskResponse, error) {
	text, replayed, err := f.state.take(ctx, r)
	if err != nil {
		return nil, err
	}
	return &dhpb.AskResponse{
		RequestId: r.GetRequestId(), Text: text, Model: "oak", Version: "v1", SessionToken: "t", Replayed: replayed,
	}, nil
}

func (f *fakeRouter) Stream(ctx context.Context, r *dhpb.AskRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	text, _, err := f.state.take(ctx, r)
	if err != nil {
		return err
	}
	return f.send(r.GetRequestId(), text, 0, stream)
}

func (f *fakeRouter) Resume(_ context.Context, r *dhpb.ResumeRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	f.state.mu.Lock()
	text, ok := f.state.answers[r.GetRequestId()]
	f.state.mu.Unlock()
	if !ok || f.state.fault == "lost answers" && len(text)%2 == 0 {
		return dhwire.ToConnect(dhcode.Errorf(dhcode.AnswerNotKept, "request %s", r.GetRequestId()))
	}
	return f.send(r.GetRequestId(), text, int(r.GetOffset()), stream)
}

func (f *fakeRouter) send(id, text string, offset int, stream *connect.ServerStream[dhpb.Chunk]) error {
	const size = 16
	for n := 0; ; n++ {
		end := min(offset+size, len(text))
		chunk := &dhpb.Chunk{
			RequestId: id, Attempt: 2, Offset: int64(offset), Text: text[offset:end], Last: end == len(text),
			Model: "oak", Version: "v1", SessionToken: "t",
		}
		if n == 2 {
			f.state.spoil(chunk)
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
		if offset = end; offset == len(text) || chunk.GetText() == "" {
			return nil
		}
	}
}

// spoil makes a chunk as the fault wants it.
func (s *fakeState) spoil(c *dhpb.Chunk) {
	switch s.fault {
	case "gap":
		c.Offset++
	case "repeated chunk":
		c.Offset -= int64(len(c.GetText()))
	case "other request":
		c.RequestId = "other"
	case "old attempt":
		c.Attempt = 1
	case "other version":
		c.Version = "v9"
	case "truncated":
		c.Text, c.Last = "", false
	case "wrong text":
		c.Text = strings.Repeat("x", len(c.GetText()))
	}
}

func (f *fakeRouter) Cancel(context.Context, *dhpb.CancelRequest) (*dhpb.CancelResponse, error) {
	return &dhpb.CancelResponse{Found: true}, nil
}

func (f *fakeRouter) Outcome(context.Context, *dhpb.OutcomeRequest) (*dhpb.OutcomeResponse, error) {
	if f.state.fault == "billed refusal" {
		return &dhpb.OutcomeResponse{State: "done"}, nil
	}
	return &dhpb.OutcomeResponse{State: "closed"}, nil
}

func (f *fakeRouter) Status(context.Context, *dhpb.StatusRequest) (*dhpb.StatusResponse, error) {
	return &dhpb.StatusResponse{Versions: []*dhpb.VersionStatus{{Model: "oak", Version: "v1", Quality: 0.93, Answers: 7}}}, nil
}

func (f *fakeRouter) ExportBills(_ context.Context, r *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	bills := f.state.bills[r.GetAfter():]
	bills = bills[:min(len(bills), 100)]
	next := r.GetAfter() + uint64(len(bills))
	return &dhpb.ExportBillsResponse{Bills: bills, Next: next, Complete: int(next) == len(f.state.bills)}, nil
}

// serve starts two entry VMs and returns their URLs.
// Callers and operators have different addresses, as on an entry VM.
func (s *fakeState) serve(t *testing.T) (callers, operators []string) {
	t.Helper()
	for range 2 {
		f := &fakeRouter{state: s}
		path, handler := dhpbconnect.NewRouterServiceHandler(f)
		callers = append(callers, listen(t, path, handler))
		path, handler = dhpbconnect.NewOperatorServiceHandler(f)
		operators = append(operators, listen(t, path, handler))
	}
	return callers, operators
}

func listen(t *testing.T, path string, handler http.Handler) (url string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewUnstartedServer(mux)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// pollClock is a stepped clock on which pauses pass at once and time limits do not.
type pollClock struct {
	mu *sync.Mutex
	*dhtimer.Stepped
}

func (c pollClock) After(d time.Duration, f func(now time.Time)) func() {
	cancel := c.Stepped.After(d, f)
	if d < 30*time.Second {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.Step(d)
	}
	return cancel
}
