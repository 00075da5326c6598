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
	// keyAlways is the key that all configurations hold, keyUnknown one that none holds.
	keyAlways  = "key-always"
	keyUnknown = "key-unknown"
	hostName   = "shop.example"

	// callerDeadline is what a caller waits for an answer.
	callerDeadline = 6 * time.Second
	// maxThinking is the longest time between two requests of a caller.
	maxThinking = 80 * time.Millisecond
	// The parts of requests with another key, to another route, that are given up,
	// and that leave a VM for another one.
	otherKeyPart   = 0.2
	unknownKeyPart = 0.03
	otherRoutePart = 0.1
	givenUpPart    = 0.04
	movedPart      = 0.02
	chunkedPart    = 0.3
	maxBody        = 3000
	// maxPatience is the longest time after which a request is given up.
	maxPatience = 100 * time.Millisecond
)

// routeInfo is a route of the configurations.
type routeInfo struct {
	name, pool string
	models     []string
	stream     bool
	// repeatable requests may run more than once.
	repeatable bool
	attempts   int
	// always tells that all configurations have the route.
	always bool
}

func (r *routeInfo) prefix() string { return "/" + r.name + "/" }

// routes are those of all configurations.
var routes = []*routeInfo{
	{name: "plan", pool: poolEngine, models: models, stream: true, repeatable: true, attempts: 3, always: true},
	{name: "talk", pool: poolEngine, models: models[:1], stream: true, attempts: 3, always: true},
	{name: "order", pool: poolPlain, models: []string{""}, attempts: 2, always: true},
	{name: "look", pool: poolPlain, models: []string{""}, repeatable: true, attempts: 3, always: true},
}

// caller sends one request after the other, on connections that it keeps until
// they end.
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
		if c.entry == nil || c.random.Float64() < movedPart {
			c.entry = c.deployment.pick(c.random)
			if c.client != nil {
				c.client.CloseIdleConnections()
			}
			c.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
		}
		if !c.ask(ctx) {
			c.entry = nil
		}
		if dhtimer.Sleep(ctx, c.deployment.soak.Timers, time.Duration(c.random.Int64N(int64(maxThinking)))) != nil {
			return nil
		}
	}
}

// ask sends one request and reports whether the connection held.
func (c *caller) ask(ctx context.Context) bool {
	route, key := routes[c.random.IntN(len(routes))], keyAlways
	if c.random.Float64() < otherRoutePart {
		route = c.operator.otherRoute(c.random)
	}
	if c.random.Float64() < otherKeyPart {
		key = c.operator.otherKey(c.random)
	}
	if c.random.Float64() < unknownKeyPart {
		key = keyUnknown
	}
	body := bytes.Repeat([]byte{byte('a' + c.random.IntN(26))}, c.random.IntN(maxBody))
	r := &request{
		id: fmt.Sprintf("%016x", requestNumber.Add(1)), method: http.MethodPost, path: route.prefix() + strconv.Itoa(c.random.IntN(100)),
		body: digest(body), route: route, key: key, entry: c.entry.name,
	}
	limited, cancel := dhtimer.WithTimeout(ctx, c.deployment.soak.Timers, callerDeadline)
	defer cancel()
	if c.random.Float64() < givenUpPart {
		patience := time.Duration(c.random.Int64N(int64(maxPatience)))
		defer c.deployment.soak.Timers.After(patience, func(time.Time) { cancel() })()
	}
	reader := io.Reader(bytes.NewReader(body))
	if c.random.Float64() < chunkedPart {
		reader = io.MultiReader(reader) // hides the length
	}
	out, err := http.NewRequestWithContext(limited, r.method, "http://"+address(c.entry.public, portFront)+r.path, reader)
	if err != nil {
		panic(err) // paths are those of this package
	}
	out.Host = hostName
	out.Header.Set(platform.HeaderID, r.id)
	out.Header.Set("Authorization", "Bearer "+key)
	out.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	if route.pool == poolEngine {
		out.Header.Set(platform.HeaderModel, "*")
	}
	c.deployment.judge.Sent(r)
	response, err := c.client.Do(out)
	if err != nil {
		c.deployment.judge.Answered(r, outcome{closed: true, left: limited.Err() != nil})
		return limited.Err() != nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	c.deployment.judge.Answered(r, outcome{
		status: response.StatusCode, seal: response.Header.Get(platform.HeaderSeal), id: response.Header.Get(platform.HeaderID),
		body: string(text), whole: err == nil, left: limited.Err() != nil,
	})
	return err == nil
}
