package dhrouter

import (
	"context"
	"io"
	"net/http"
	"time"

	"dandelionhoist.example/dh/dhbackend"
)

// PromptPart is a piece of a prompt that several requests may share.
type PromptPart struct {
	// ID is the same for the same text.
	ID     uint64
	Tokens int
}

// Message is an HTTP request that is passed on to a backend server as it came.
// It is immutable.
type Message struct {
	// ID is different for each request of a caller, also for a repeated one.
	ID string
	// Target is path and query as they came, Path the decoded path.
	Method, Host, Target, Path string
	// Header holds what is passed on: neither what concerns one connection
	// only nor what the router sets itself.
	Header http.Header
	Body   []byte
	// Key is the caller's API key.
	Key string
	// Session is the same for requests that belong together, or empty.
	Session string
	// Left is the time left to the caller; 0 means that it is not stated.
	Left time.Duration
	// LastEvent is the number of the last event that the caller has of an
	// earlier answer; HasLast is false when it has none.
	LastEvent int64
	HasLast   bool
	// Model is the wanted model; AnyModel leaves the choice to the route.
	Model    string
	AnyModel bool
	// PromptTokens and MaxTokens are the lengths of prompt and answer.
	PromptTokens, MaxTokens int
	Prompt                  []PromptPart
}

// Outbound is a message on its way to one backend server.
type Outbound struct {
	*Message
	Backend *dhbackend.Backend
	// Account is the client account that sent the request, empty on public routes.
	Account string
	// Left is the time left for the whole answer.
	Left time.Duration
	// Model is the model that answers.
	Model string
	// Rank orders requests at the backend server, 0 first.
	Rank int
	// LastEvent is the event after which the answer goes on.
	LastEvent int64
	HasLast   bool
}

// Inbound is the head of a backend server's answer, and its body.
type Inbound struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// RequestID is the request that the answer belongs to, as the backend server says.
	RequestID string
	// NotRun is set when the backend server states that it did not and will not run the request.
	NotRun bool
	// Moved is set when another backend server, which did not run the request,
	// is at the address now.
	Moved bool
	// Sealed is set when the answer bears the backend server's signature.
	Sealed bool
	// Events is set when the body is a stream of events.
	Events bool
	// Leaving is set when the backend server says that it leaves, so that
	// nothing new must be sent to it.
	Leaving bool
	// Pause is how long the backend server wants no request of this VM, or 0.
	Pause time.Duration
	// Confidence is the model's own opinion of the answer in percent, or -1.
	Confidence int
	// Length is the length of the body in bytes, or -1 when the head states none.
	Length int64
	Body   io.ReadCloser
}

// Passer sends messages to backend servers.
type Passer interface {
	// Pass sends a message and waits for the head of the answer. An error
	// states "not run" when nothing was sent. The end of ctx ends the answer.
	Pass(ctx context.Context, o *Outbound) (*Inbound, error)
}

// Lease says whether this VM knows the newest configuration well enough to
// accept keys.
type Lease interface {
	Valid() bool
}
