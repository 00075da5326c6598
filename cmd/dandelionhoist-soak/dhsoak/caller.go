package dhsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/platform"
)

const (
	accountName = "crew"
	// keyAlways is in all configurations, keyUnknown in none.
	keyAlways  = "key-always"
	keyUnknown = "key-unknown"
	hostName   = "shop.example"

	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = 6 * time.Second
	// maxThinkTime is the longest time between two requests of a caller.
	maxThinkTime = 80 * time.Millisecond
	// maxReturnTime is the longest time until a refused request is sent again.
	maxReturnTime = 10 * time.Millisecond
	// Shares of requests with another or an unknown key, to another route,
	// cancelled by the caller, sent to a newly chosen entry VM, and sent with a
	// chunked body.
	otherKeyShare   = 0.2
	unknownKeyShare = 0.03
	otherRouteShare = 0.1
	cancelShare     = 0.04
	reconnectShare  = 0.02
	chunkedShare    = 0.3
	// comeBackShare of the refused requests are sent again with their id.
	comeBackShare = 0.5
	maxBody       = 3000
	// maxCancelDelay is the longest time after which a request is cancelled.
	maxCancelDelay = 100 * time.Millisecond
)

// routeInfo describes a route of the configurations.
type routeInfo struct {
	name, pool string
	models     []string
	stream     bool
	// repeatable requests may run more than once.
	repeatable bool
	attempts   int
	// always is true if all configurations have the route.
	always bool
}

func (r *routeInfo) prefix() string { return "/" + r.name + "/" }

// routes holds the routes that all configurations have.
var routes = []*routeInfo{
	{name: "plan", pool: poolEngine, models: models, stream: true, repeatable: true, attempts: 3, always: true},
	{name: "talk", pool: poolEngine, models: models[:1], stream: true, attempts: 3, always: true},
	{name: "order", pool: poolPlain, models: []string{""}, attempts: 2, always: true},
	{name: "look", pool: poolPlain, models: []string{""}, repeatable: true, attempts: 3, always: true},
}

// caller sends requests sequentially on persistent connections, which it keeps
// until they end or it switches to another entry VM.
type caller struct {
	deployment *deployment
	operator   *operator
	random     *rand.Rand
	entry      *vm
	client     *http.Client
}

var requestNumber atomic.Int64

func (c *caller) run(ctx context.Context) error {
	for {
		if c.entry == nil || c.random.Float64() < reconnectShare {
			c.entry = c.deployment.pickEntry(c.random)
			if c.client != nil {
				c.client.CloseIdleConnections()
			}
			c.client = newCallerClient()
		}
		if !c.ask(ctx) {
			c.entry = nil
		}
		if dhtimer.Sleep(ctx, c.deployment.soak.Timers, time.Duration(c.random.Int64N(int64(maxThinkTime)))) != nil {
			return nil
		}
	}
}

func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true}}
}

// ask sends one request, perhaps again after a refusal, and reports whether the connection is
// still usable.
func (c *caller) ask(ctx context.Context) bool {
	route, key := routes[c.random.IntN(len(routes))], keyAlways
	if c.random.Float64() < otherRouteShare {
		route = c.operator.otherRoute(c.random)
	}
	if c.random.Float64() < otherKeyShare {
		key = c.operator.otherKey(c.random)
	}
	if c.random.Float64() < unknownKeyShare {
		key = keyUnknown
	}
	r, body := c.newRequest(route, key)
	if path := c.deployment.deadlyRequestNow(c.random); path != "" && route.always {
		r.path, r.key, body = route.prefix()+path, keyAlways, []byte(path)
		r.body = digest(body)
	}
	if route.pool == poolEngine {
		r.prompt = c.deployment.prompt(c.random, r.id)
	}
	usable, refused := c.send(ctx, r, body)
	for usable && refused && c.random.Float64() < comeBackShare {
		if dhtimer.Sleep(ctx, c.deployment.soak.Timers, time.Duration(c.random.Int64N(int64(maxReturnTime)))) != nil {
			break // the run has ended
		}
		usable, refused = c.send(ctx, r, body)
	}
	return usable
}

// newRequest returns a request with a random body.
func (c *caller) newRequest(route *routeInfo, key string) (*request, []byte) {
	body := bytes.Repeat([]byte{byte('a' + c.random.IntN(26))}, c.random.IntN(maxBody))
	return &request{
		id: fmt.Sprintf("%016x", requestNumber.Add(1)), method: http.MethodPost, path: route.prefix() + strconv.Itoa(c.random.IntN(100)),
		body: digest(body), route: route, key: key, entry: c.entry.name,
	}, body
}

// send sends a request once. It reports whether the connection is still usable, and whether
// the request was refused.
func (c *caller) send(ctx context.Context, r *request, body []byte) (usable, refused bool) {
	limited, cancel := dhtimer.WithTimeout(ctx, c.deployment.soak.Timers, callerDeadline)
	defer cancel()
	if c.random.Float64() < cancelShare {
		cancelDelay := time.Duration(c.random.Int64N(int64(maxCancelDelay)))
		defer c.deployment.soak.Timers.After(cancelDelay, func(time.Time) { cancel() })()
	}
	reader := io.Reader(bytes.NewReader(body))
	if c.random.Float64() < chunkedShare {
		reader = io.MultiReader(reader) // hides the length, so that the body is sent chunked
	}
	out, err := http.NewRequestWithContext(limited, r.method, "http://"+address(c.entry.publicIP, portFrontend)+r.path, reader)
	if err != nil {
		panic(err) // paths are those of this package
	}
	out.Host = hostName
	out.Header.Set(platform.HeaderID, r.id)
	out.Header.Set("Authorization", "Bearer "+r.key)
	out.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if r.prompt != "" {
		out.Header.Set(platform.HeaderModel, "*")
		out.Header.Set(platform.HeaderPrefix, r.prompt)
		out.Header.Set(platform.HeaderTokens, "570,80")
	}
	c.deployment.checker.Sent(r)
	response, err := c.client.Do(out)
	if err != nil {
		c.deployment.checker.Answered(r, outcome{closed: true, cancelled: limited.Err() != nil})
		return limited.Err() != nil, false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	refused = c.deployment.checker.Answered(r, outcome{
		status: response.StatusCode, seal: response.Header.Get(platform.HeaderSeal), id: response.Header.Get(platform.HeaderID),
		body: string(text), complete: err == nil, cancelled: limited.Err() != nil,
	})
	return err == nil, refused
}
