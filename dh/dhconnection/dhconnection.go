// Package dhconnection keeps HTTP/1.1 connections to backend servers, sends each request on
// one of them, at most once, and finds the answer that belongs to it.
//
// http.Transport repeats a request by itself when a kept connection ends before the answer
// and the request has no body and a method that HTTP calls idempotent, or a header
// Idempotency-Key. What may run twice is not known from the method or a header, and a
// repeat that the router does not know of counts towards no limit. A Pool never repeats, and
// tells its caller whether a request that failed can have reached the backend server.
//
// http.Transport also takes the next answer on a connection for that to the request that it
// has sent there. Backend servers may write answers too many: copies of refusals, of answers
// and of failures, at any time. What ties an answer to a send is the connection, its place in
// the order of answers, and the id of the request that it repeats:
//
//   - An answer with another id, or without one on a connection that has carried other
//     requests, is read to its end and dropped. The own answer may follow, and the request
//     waits for it until its context ends, within MaxForeignBytes. What begins before a
//     request is sent is not its answer.
//   - The id does not tell two sends of the same request apart. A connection therefore never
//     carries the same id twice: it remembers those that it has carried, and is closed after
//     MaxRequests of them.
//
// Nothing that another request's answer states reaches the caller.
//
// A body without a length ends with its connection. It is complete only if the backend server
// has received the whole request and then ended its side without a reset.
//
// # Usage
//
//	pool := &dhconnection.Pool{
//		Timers: timers, Group: group, Connect: connect, MaxIdle: 64, IdleTimeout: 1500 * time.Millisecond,
//		BufferBytes: 2 << 10, MaxHeaderBytes: 64 << 10, MaxForeignBytes: 8 << 20, MaxRequests: 256,
//		IDHeader: "Request-Id", Log: log, Metrics: metrics,
//	}
//	exchange, err := pool.Send(address, id, request)
//	if errors.Is(err, dhconnection.ErrNotSent) { ... } // the request cannot have run
//	defer exchange.Response.Body.Close() // closes the connection if the body was not read to its end
//
// A connection is used again once the answer with the request's id has been read to its end.
package dhconnection

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhtimer"
)

var (
	// ErrNotSent is wrapped by errors of requests of which not one byte was sent.
	ErrNotSent = errors.New("nothing was sent")
	// ErrStale is wrapped, besides ErrNotSent, if the request was to use a kept connection
	// that the backend server had closed. This says nothing about its health.
	ErrStale = errors.New("the kept connection was closed")
	// ErrEndless is wrapped if more than MaxForeignBytes of other answers came before the
	// own one.
	ErrEndless = errors.New("too many bytes of answers to other requests")
	// ErrOtherAnswer is wrapped if the own answer cannot be read after another one. This
	// says nothing about the health of the backend server.
	ErrOtherAnswer = errors.New("the answer to another request ended the connection")
	// ErrCutOff is wrapped by the error of a body without a length whose connection was reset
	// or ended before the backend server had received the whole request.
	ErrCutOff = errors.New("the answer without a length was cut off")
)

// Pool sends requests and keeps connections, by address. Set its exported fields before the
// first call of Send. It is safe for concurrent use.
type Pool struct {
	Timers dhtimer.Service
	// Group runs the readers of connections.
	Group *dhgroup.Group
	// Connect connects to an address.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle bounds the idle connections to one address. IdleTimeout is the time after
	// which they are closed, unless the backend server states a shorter one.
	MaxIdle     int
	IdleTimeout time.Duration
	// BufferBytes is the size of the read buffer and of the write buffer of a connection,
	// MaxHeaderBytes the largest head of a response.
	BufferBytes    int
	MaxHeaderBytes int64
	// IDHeader names the header with the id of a request, which backend servers repeat in
	// their answers, in canonical form.
	IDHeader string
	// MaxForeignBytes bounds what is read of answers to other requests before the own one.
	MaxForeignBytes int64
	// MaxRequests is the number of requests that a connection carries at most, and so that
	// of the ids that it remembers.
	MaxRequests int
	Log         *slog.Logger
	Metrics     *dhmetric.Metrics

	connections atomic.Uint64

	mu       sync.Mutex
	idle     map[string][]*connection // the newest last
	sweeping bool
}

// Exchange is a request that got a response. The caller closes the body of the response;
// before its end, this closes the connection.
type Exchange struct {
	Response *http.Response
	// Connection is the number of the connection, and Earlier that of the requests that it
	// had carried before.
	Connection uint64
	Earlier    int
}

// SendError is the error of a request that got no response on its connection.
type SendError struct {
	// Connection and Earlier are those of Exchange.
	Connection uint64
	Earlier    int
	Err        error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("connection %d after %d earlier requests: %v", e.Connection, e.Earlier, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Send sends a request to the backend server at an address and returns its response. If id is
// empty, answers belong to the request by their order alone. The request is written at most
// once. An error that does not wrap ErrNotSent means that the backend server may have
// received it.
func (p *Pool) Send(address, id string, r *http.Request) (*Exchange, error) {
	ctx := r.Context()
	c := p.takeIdle(address, id)
	if c == nil {
		conn, err := p.Connect(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		c = p.open(address, conn)
	}
	a := c.begin(id, r)
	a.stop = context.AfterFunc(ctx, func() { c.fail(context.Cause(ctx)) })
	c.send(a)
	if response, ok := <-a.answers; ok {
		a.attach(response)
		return &Exchange{Response: response, Connection: c.number, Earlier: a.earlier}, nil
	}
	a.stop()
	var err error = &SendError{Connection: c.number, Earlier: a.earlier, Err: c.failure()}
	switch sent := c.wire.shut() - a.before; {
	case sent > 0:
		return nil, err
	case a.earlier > 0 && ctx.Err() == nil:
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrStale, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
}
