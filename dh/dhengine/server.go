package dhengine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/dh/dhwire"
)

// A stream of cache events checks for due events every eventPollInterval and
// then sends at most maxEventBatch of them.
const (
	eventPollInterval = 100 * time.Millisecond
	maxEventBatch     = 256
)

// Server serves a Model as an EngineService.
type Server struct {
	Model *Model
}

var _ dhpbconnect.EngineServiceHandler = (*Server)(nil)

// Handler returns the path of the service and its handler.
func (s *Server) Handler() (string, http.Handler) {
	return dhpbconnect.NewEngineServiceHandler(s)
}

// Generate implements EngineServiceHandler. It cancels the request if the
// stream ends early.
func (s *Server) Generate(ctx context.Context, req *dhpb.GenerateRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	b := &chunkBuffer{ready: make(chan struct{}, 1)}
	cancel := s.Model.Generate(req, b)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.ready:
		}
		chunks, done, err := b.take()
		for _, c := range chunks {
			if err := stream.Send(c); err != nil {
				return err
			}
		}
		if done {
			return dhwire.ToConnect(err)
		}
	}
}

// chunkBuffer passes an answer from the model to the goroutine that serves its
// stream.
type chunkBuffer struct {
	mu     sync.Mutex
	chunks []*dhpb.Chunk
	done   bool
	err    error
	ready  chan struct{}
}

// Chunk implements Sink.
func (b *chunkBuffer) Chunk(c *dhpb.Chunk) {
	b.mu.Lock()
	b.chunks = append(b.chunks, c)
	b.mu.Unlock()
	b.notify()
}

// Done implements Sink.
func (b *chunkBuffer) Done(err error) {
	b.mu.Lock()
	b.done, b.err = true, err
	b.mu.Unlock()
	b.notify()
}

func (b *chunkBuffer) notify() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

func (b *chunkBuffer) take() ([]*dhpb.Chunk, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	chunks := b.chunks
	b.chunks = nil
	return chunks, b.done, b.err
}

// CancelGenerate implements EngineServiceHandler.
func (s *Server) CancelGenerate(_ context.Context, req *dhpb.CancelRequest) (*dhpb.CancelResponse, error) {
	return &dhpb.CancelResponse{Found: s.Model.Cancel(req.GetRequestId())}, nil
}

// Order implements EngineServiceHandler.
func (s *Server) Order(_ context.Context, req *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	response, err := s.Model.Order(req)
	return response, dhwire.ToConnect(err)
}

// CacheEvents implements EngineServiceHandler. The stream ends when the caller
// closes it.
func (s *Server) CacheEvents(ctx context.Context, req *dhpb.CacheEventsRequest, stream *connect.ServerStream[dhpb.CacheEvent]) error {
	after := req.GetAfter()
	for {
		for _, e := range s.Model.CacheEvents(after, maxEventBatch) {
			if err := stream.Send(e); err != nil {
				return err
			}
			after = e.GetSequence()
		}
		if err := dhtimer.Sleep(ctx, s.Model.Timers, eventPollInterval); err != nil {
			return err
		}
	}
}
