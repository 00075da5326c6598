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

// eventPoll is how often a stream of cache events looks for due events, of
// which it sends at most eventBatch at a time.
const (
	eventPoll  = 100 * time.Millisecond
	eventBatch = 256
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

// Generate implements EngineServiceHandler. A request whose stream ends is cancelled.
func (s *Server) Generate(ctx context.Context, req *dhpb.GenerateRequest, stream *connect.ServerStream[dhpb.Chunk]) error {
	p := &pump{ready: make(chan struct{}, 1)}
	cancel := s.Model.Generate(req, p)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ready:
		}
		chunks, done, err := p.take()
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

// pump passes an answer from the model to the goroutine of its stream.
type pump struct {
	mu     sync.Mutex
	chunks []*dhpb.Chunk
	done   bool
	err    error
	ready  chan struct{}
}

// Chunk implements Sink.
func (p *pump) Chunk(c *dhpb.Chunk) {
	p.mu.Lock()
	p.chunks = append(p.chunks, c)
	p.mu.Unlock()
	p.wake()
}

// Done implements Sink.
func (p *pump) Done(err error) {
	p.mu.Lock()
	p.done, p.err = true, err
	p.mu.Unlock()
	p.wake()
}

func (p *pump) wake() {
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

func (p *pump) take() ([]*dhpb.Chunk, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	chunks := p.chunks
	p.chunks = nil
	return chunks, p.done, p.err
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

// CacheEvents implements EngineServiceHandler. The stream ends with its caller.
func (s *Server) CacheEvents(ctx context.Context, req *dhpb.CacheEventsRequest, stream *connect.ServerStream[dhpb.CacheEvent]) error {
	after := req.GetAfter()
	for {
		for _, e := range s.Model.CacheEvents(after, eventBatch) {
			if err := stream.Send(e); err != nil {
				return err
			}
			after = e.GetSequence()
		}
		if err := dhtimer.Sleep(ctx, s.Model.Timers, eventPoll); err != nil {
			return err
		}
	}
}
