// Package dhpeer is the client for the services of other entry VMs, using twirp over h2c, or
// over HTTP/1.1 with an id of each call that its answer repeats.
//
// # Usage
//
//	client := &dhpeer.Client{Key: keys.Peer[0]}
//	reply, err := client.Gossip(ctx, "10.1.0.5:8082", message)
//
// Errors carry the result code returned by the other VM, or quorum-unreachable
// if that VM cannot be reached.
package dhpeer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhwire"
)

const (
	// dialTimeout bounds connection attempts to a VM that a partition may separate.
	dialTimeout = 300 * time.Millisecond
	// pingAfter and pingTimeout close HTTP/2 connections to an unresponsive VM, so
	// that calls after a healed partition do not wait on a dead connection.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// Client calls entry VMs by address ("IP:port"). It is safe for concurrent use.
type Client struct {
	// Key is the peer key sent with each call.
	Key string
	// OneCallPerConnection uses HTTP/1.1, so that an unresponsive connection
	// delays only one call and is closed with it.
	OneCallPerConnection bool
	// SourceIP is the local IP address of outgoing connections. If nil, the system
	// chooses it.
	SourceIP net.IP

	once    sync.Once
	http    *http.Client
	mu      sync.RWMutex
	clients map[string]peerClients
}

// peerClients holds the clients of one VM's services.
type peerClients struct {
	dhpb.PeerService
	control dhpb.ControlService
}

// maxIdlePerPeer is the number of idle connections to one VM that are kept with
// OneCallPerConnection, as the calls of a quorum round and a watch run concurrently.
const maxIdlePerPeer = 8

func (c *Client) init() {
	c.once.Do(func() {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(!c.OneCallPerConnection)
		protocols.SetHTTP1(c.OneCallPerConnection)
		dialer := &net.Dialer{Timeout: dialTimeout}
		if c.SourceIP != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: c.SourceIP}
		}
		transport := &http.Transport{
			Protocols:              protocols,
			DialContext:            dialer.DialContext,
			HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
			MaxIdleConnsPerHost:    maxIdlePerPeer,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     c.OneCallPerConnection,
			MaxResponseHeaderBytes: dhwire.MaxHeaderBytes,
		}
		var next http.RoundTripper = transport
		if c.OneCallPerConnection {
			calls := new(dhwire.Calls) // HTTP/2 ties answers to calls by the numbers of streams
			transport.DialContext = calls.Connect(dialer.DialContext)
			next = calls.Client(transport)
		}
		bounds := &dhwire.Bounds{MaxBytes: maxAnswerBytes, MaxTotalBytes: maxTotalAnswerBytes}
		c.http = &http.Client{Transport: bounds.Client(&keyTransport{key: c.Key, next: next})}
		c.clients = make(map[string]peerClients)
	})
}

const (
	// maxAnswerBytes bounds the answer to a call. The largest is a view of all backend
	// servers of a control VM, about 2 MB at the size planned for two years from now, with
	// a document of at most 1 MiB.
	maxAnswerBytes = 8 << 20
	// maxTotalAnswerBytes bounds the answers that are being read at the same time.
	maxTotalAnswerBytes = 32 << 20
)

// idleTimeout is the time after which unused connections are closed.
const idleTimeout = 30 * time.Second

// keyTransport adds the peer key, if any, to each request.
type keyTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (a *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if a.key == "" {
		return a.next.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	dhwire.SetKey(r.Header, a.key)
	return a.next.RoundTrip(r)
}

func (c *Client) peer(address string) peerClients {
	c.init()
	c.mu.RLock()
	p, ok := c.clients[address]
	c.mu.RUnlock()
	if ok {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p = peerClients{
		PeerService: dhpb.NewPeerServiceProtobufClient("http://"+address, c.http),
		control:     dhpb.NewControlServiceProtobufClient("http://"+address, c.http),
	}
	c.clients[address] = p
	return p
}

// codedError converts a twirp error to an error with a result code. Connection
// errors get quorum-unreachable.
func codedError(err error) error {
	if err == nil {
		return nil
	}
	coded := dhwire.FromTwirp(err)
	var wire twirp.Error
	if errors.As(coded, &wire) {
		return dhcode.Wrap(dhcode.QuorumUnreachable, err)
	}
	return coded
}

// Gossip implements dhmember.Transport.
func (c *Client) Gossip(ctx context.Context, address string, m *dhpb.GossipMessage) (*dhpb.GossipMessage, error) {
	reply, err := c.peer(address).Gossip(ctx, m)
	return reply, codedError(err)
}

// Prepare implements dhquorum.Transport.
func (c *Client) Prepare(ctx context.Context, address string, m *dhpb.PrepareRequest) (*dhpb.PrepareResponse, error) {
	reply, err := c.peer(address).Prepare(ctx, m)
	return reply, codedError(err)
}

// Accept implements dhquorum.Transport.
func (c *Client) Accept(ctx context.Context, address string, m *dhpb.AcceptRequest) (*dhpb.AcceptResponse, error) {
	reply, err := c.peer(address).Accept(ctx, m)
	return reply, codedError(err)
}

// ReadState implements dhquorum.Transport.
func (c *Client) ReadState(ctx context.Context, address string, m *dhpb.ReadStateRequest) (*dhpb.ReadStateResponse, error) {
	reply, err := c.peer(address).ReadState(ctx, m)
	return reply, codedError(err)
}

// Watch requests changes from a control VM.
func (c *Client) Watch(ctx context.Context, address string, m *dhpb.ControlWatchRequest) (*dhpb.ControlWatchResponse, error) {
	reply, err := c.peer(address).control.Watch(ctx, m)
	return reply, codedError(err)
}

// State requests the durable state of a control VM.
func (c *Client) State(ctx context.Context, address string, m *dhpb.ControlStateRequest) (*dhpb.ControlStateResponse, error) {
	reply, err := c.peer(address).control.State(ctx, m)
	return reply, codedError(err)
}

// FetchRevision fetches a decided revision from another VM.
func (c *Client) FetchRevision(ctx context.Context, address string, revision uint64) (*dhpb.Revision, error) {
	reply, err := c.peer(address).FetchRevision(ctx, &dhpb.FetchRevisionRequest{Revision: revision})
	return reply, codedError(err)
}

// PutBills stores bills on another VM.
func (c *Client) PutBills(ctx context.Context, address string, m *dhpb.PutBillsRequest) (*dhpb.PutBillsResponse, error) {
	reply, err := c.peer(address).PutBills(ctx, m)
	return reply, codedError(err)
}

// ListBills returns bills that another VM's voter stores.
func (c *Client) ListBills(ctx context.Context, address string, m *dhpb.ExportBillsRequest) (*dhpb.ExportBillsResponse, error) {
	reply, err := c.peer(address).ListBills(ctx, m)
	return reply, codedError(err)
}

// LendCredit requests cold-start credits from another VM.
func (c *Client) LendCredit(ctx context.Context, address string, m *dhpb.LendCreditRequest) (*dhpb.LendCreditResponse, error) {
	reply, err := c.peer(address).LendCredit(ctx, m)
	return reply, codedError(err)
}

// FetchAnswer returns a part of an answer that another VM holds.
func (c *Client) FetchAnswer(ctx context.Context, address string, m *dhpb.FetchAnswerRequest) (*dhpb.FetchAnswerResponse, error) {
	reply, err := c.peer(address).FetchAnswer(ctx, m)
	return reply, codedError(err)
}

// LendLimit requests a part of a client account's limits from another VM.
func (c *Client) LendLimit(ctx context.Context, address string, m *dhpb.LendLimitRequest) (*dhpb.LendLimitResponse, error) {
	reply, err := c.peer(address).LendLimit(ctx, m)
	return reply, codedError(err)
}
