package dhrouter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhgrant"
)

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	// ID identifies the text of the part.
	ID     uint64
	Tokens int
}

// Message is an HTTP request that is forwarded to a backend server. It is
// immutable.
type Message struct {
	// ID is unique among the requests of a caller; a repeated request gets a new
	// one.
	ID string
	// Target holds the path and query as received, Path the decoded path.
	Method, Host, Target, Path string
	// Header holds the headers to forward, without hop-by-hop headers and those
	// that the router sets itself.
	Header http.Header
	Body   []byte
	// Key is the caller's API key.
	Key string
	// Session identifies requests that belong together; it may be empty.
	Session string
	// TimeLeft is the time left until the caller's deadline; 0 means that none is
	// stated.
	TimeLeft time.Duration
	// LastEvent is the number of the last event that the caller received of an
	// earlier answer. HasLastEvent is false if it received none.
	LastEvent    int64
	HasLastEvent bool
	// Model is the requested model; AnyModel leaves the choice to the route.
	Model    string
	AnyModel bool
	// PromptTokens is the length of the prompt and MaxTokens the limit of the
	// answer, in tokens.
	PromptTokens, MaxTokens int
	Prompt                  []PromptPart
	// Unordered are the ids of parts that follow an entry of the prompt which cannot be
	// read. They tell nothing about caches.
	Unordered []uint64
}

// Outbound is a message as sent to one backend server.
type Outbound struct {
	*Message
	Backend *dhbackend.Backend
	// Account is the client account that sent the request; it is empty on public
	// routes.
	Account string
	// TimeLeft is the time left for the complete answer.
	TimeLeft time.Duration
	// Model is the model that must answer.
	Model string
	// Rank is the request's priority at the backend server; 0 is served first.
	Rank int
	// LastEvent is the number of the event after which the answer resumes.
	LastEvent    int64
	HasLastEvent bool
	// Connection is set by Transport.Send, unless there was none.
	Connection Connection
}

// Inbound is the head and the body of a backend server's answer.
type Inbound struct {
	Status int
	// Header holds the headers to relay to the caller.
	Header http.Header
	// RequestID is the id of the request that the backend server says it answers.
	RequestID string
	// NotRun is set if the backend server states that it did not and will not run
	// the request.
	NotRun bool
	// KeptConnection is set if the connection had carried earlier requests, so that an
	// answer without an id may belong to one of them.
	KeptConnection bool
	// AddressReused is set if the address now belongs to another backend server, which did
	// not run the request.
	AddressReused bool
	// Sealed is set if the answer carries the backend server's signature.
	Sealed bool
	// Events is set if the body is an event stream.
	Events bool
	// Leaving is set if the backend server announced that it is leaving, so that no
	// new requests may be sent to it.
	Leaving bool
	// Pause is how long the backend server wants to receive no requests from this
	// VM, or 0.
	Pause time.Duration
	// RateLimit is the limit that the answer states on the requests of all entry
	// VMs together. InvalidRateLimit is set if it states one that cannot be read.
	RateLimit        dhgrant.Limit
	InvalidRateLimit bool
	// Brittle is what the answer states on refusals.
	Brittle Brittleness
	// Confidence is the model's own confidence in the answer in percent, or -1.
	Confidence int
	// Length is the length of the body in bytes, or -1 if the head does not state
	// it.
	Length int64
	Body   io.ReadCloser
}

// Connection tells a connection to a backend server from others in logs.
type Connection struct {
	// Number counts the connections of this VM, Earlier the requests that this one had
	// carried before.
	Number  uint64
	Earlier int
}

// String returns the number, and the number of earlier requests after a "+".
func (c Connection) String() string {
	return strconv.FormatUint(c.Number, 10) + "+" + strconv.Itoa(c.Earlier)
}

// Brittleness is the statement of a backend server that it ends if it must refuse more than
// a number of requests in a second for want of room.
type Brittleness struct {
	Stated   bool
	Refusals float64
}

// ErrStaleConnection is wrapped by an error marked "not run" if a kept connection turned out
// to be closed before anything was sent. The backend server may be healthy.
var ErrStaleConnection = errors.New("a kept connection was closed")

// ErrOtherAnswer is wrapped by an error if the connection ended with the answer to another
// request. The backend server may be healthy.
var ErrOtherAnswer = errors.New("the answer to another request came instead")

// Transport sends messages to backend servers.
type Transport interface {
	// Send sends a message at most once and waits for the head of the answer. An error is
	// marked "not run" if nothing was sent. Canceling ctx ends the answer.
	Send(ctx context.Context, o *Outbound) (*Inbound, error)
}

// Lease tells how recent the tables of a Snapshot are.
type Lease interface {
	// Valid reports whether it is recent enough to accept API keys.
	Valid() bool
	// ConfirmedWithin reports whether it was the newest at most this long ago.
	ConfirmedWithin(age time.Duration) bool
}
