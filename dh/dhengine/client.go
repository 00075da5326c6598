package dhengine

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhpb/dhpbconnect"
	"dandelionhoist.example/dh/dhwire"
)

// maxClients bounds the cached connect clients; connections are pooled by the
// HTTP client.
const maxClients = 4096

// Client calls backend servers by address. It is safe for concurrent use.
// Errors carry the result code of the backend server, or backend-failed,
// stream-broken, cancelled or deadline-exceeded. They are marked "not run" only
// where it is certain that the request did not run.
type Client struct {
	// HTTP defaults to NewHTTPClient.
	HTTP connect.HTTPClient

	mu      sync.RWMutex
	clients map[string]dhpbconnect.EngineServiceClient
}

func (c *Client) client(address string) dhpbconnect.EngineServiceClient {
	c.mu.RLock()
	client := c.clients[address]
	c.mu.RUnlock()
	if client != nil {
		return client
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.HTTP == nil {
		c.HTTP = NewHTTPClient()
	}
	if c.clients == nil || len(c.clients) >= maxClients {
		c.clients = make(map[string]dhpbconnect.EngineServiceClient)
	}
	url := address
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	client = dhpbconnect.NewEngineServiceClient(c.HTTP, url, connect.WithAcceptCompression("gzip", nil, nil))
	c.clients[address] = client
	return client
}

// Stream receives the chunks of one answer.
type Stream struct {
	stream *connect.ServerStreamForClient[dhpb.Chunk]
	cancel context.CancelFunc
	sent   *atomic.Bool
	last   bool
}

// Generate sends a request to the backend server at address ("host:port" or a URL).
func (c *Client) Generate(ctx context.Context, address string, req *dhpb.GenerateRequest) (*Stream, error) {
	s := &Stream{}
	ctx, s.cancel = context.WithCancel(ctx)
	ctx, s.sent = dhwire.TraceSent(ctx)
	stream, err := c.client(address).Generate(ctx, req)
	if err != nil {
		s.cancel()
		return nil, decodeError(err, s.sent.Load())
	}
	s.stream = stream
	return s, nil
}

// Next returns the next chunk, or io.EOF after the last one. A stream that
// ends without its last chunk returns an error with the code stream-broken.
func (s *Stream) Next() (*dhpb.Chunk, error) {
	if s.stream.Receive() {
		// Receive allocates a new message for each chunk, so the caller may keep it.
		chunk := s.stream.Msg()
		s.last = s.last || chunk.GetLast()
		return chunk, nil
	}
	if err := s.stream.Err(); err != nil {
		return nil, decodeError(err, s.sent.Load())
	}
	if !s.last {
		return nil, dhcode.Errorf(dhcode.StreamBroken, "answer ended without its last chunk")
	}
	return nil, io.EOF
}

// Close ends the stream. If the request still runs, the backend server cancels it.
func (s *Stream) Close() error {
	s.cancel()
	return s.stream.Close()
}

// Cancel stops a request by id and reports whether it was queued or running on
// the backend server.
func (c *Client) Cancel(ctx context.Context, address, requestID string) (bool, error) {
	ctx, sent := dhwire.TraceSent(ctx)
	response, err := c.client(address).CancelGenerate(ctx, &dhpb.CancelRequest{RequestId: requestID})
	if err != nil {
		return false, decodeError(err, sent.Load())
	}
	return response.GetFound(), nil
}

// Order sends an order. An order with an old fencing token returns a response
// with Accepted false.
func (c *Client) Order(ctx context.Context, address string, o *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	ctx, sent := dhwire.TraceSent(ctx)
	response, err := c.client(address).Order(ctx, o)
	if err != nil {
		return nil, decodeError(err, sent.Load())
	}
	return response, nil
}

// CacheEvents calls f for each cache event with a sequence number above after
// until ctx ends, the stream breaks or f returns false. It returns nil only if
// f returned false.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64, f func(*dhpb.CacheEvent) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, sent := dhwire.TraceSent(ctx)
	stream, err := c.client(address).CacheEvents(ctx, &dhpb.CacheEventsRequest{After: after})
	if err != nil {
		return decodeError(err, sent.Load())
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if !f(stream.Msg()) {
			return nil
		}
	}
	if stream.Err() == nil {
		return dhcode.Errorf(dhcode.StreamBroken, "cache events of %q ended", address)
	}
	return decodeError(stream.Err(), sent.Load())
}
