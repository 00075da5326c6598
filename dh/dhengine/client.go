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

// maxClients bounds the cached connect clients; the connections themselves
// are kept by HTTP.
const maxClients = 4096

// Client calls backend servers by address. It is safe for concurrent use.
// Errors carry the result code of the backend server, or backend-failed,
// stream-broken, cancelled or deadline-exceeded, and state "not run" where
// that is certain.
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

// Stream is an answer that arrives.
type Stream struct {
	stream *connect.ServerStreamForClient[dhpb.Chunk]
	cancel context.CancelFunc
	sent   *atomic.Bool
	last   bool
}

// Generate starts a request at the backend server with an address ("host:port" or a URL).
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
		// Receive reuses nothing: each message is a new one.
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

// Close ends the stream; the backend server cancels a request that still runs.
func (s *Stream) Close() error {
	s.cancel()
	return s.stream.Close()
}

// Cancel stops a request by id and reports whether the backend server had it.
func (c *Client) Cancel(ctx context.Context, address, requestID string) (bool, error) {
	ctx, sent := dhwire.TraceSent(ctx)
	response, err := c.client(address).CancelGenerate(ctx, &dhpb.CancelRequest{RequestId: requestID})
	if err != nil {
		return false, decodeError(err, sent.Load())
	}
	return response.GetFound(), nil
}

// Order sends an order. A refused one is answered with Accepted false.
func (c *Client) Order(ctx context.Context, address string, o *dhpb.OrderRequest) (*dhpb.OrderResponse, error) {
	ctx, sent := dhwire.TraceSent(ctx)
	response, err := c.client(address).Order(ctx, o)
	if err != nil {
		return nil, decodeError(err, sent.Load())
	}
	return response, nil
}

// CacheEvents calls f for each cache event after a sequence number until ctx
// ends, the stream breaks or f returns false. It returns nil only for the last.
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
