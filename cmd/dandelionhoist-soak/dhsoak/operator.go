package dhsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtable"
	"dandelionhoist.example/dh/dhtimer"
	"dandelionhoist.example/platform"
)

const (
	// changePeriod sets the time between two configuration changes, which is from
	// a quarter of it to one and a quarter; readPeriod is the time between two
	// reads.
	changePeriod = 900 * time.Millisecond
	readPeriod   = 100 * time.Millisecond
	// callLimit is the timeout of a call, orderLimit the time during which an order
	// is retried.
	callLimit  = time.Second
	orderLimit = 4 * time.Second
	// repeatPause is the time between two attempts of an order.
	repeatPause = 100 * time.Millisecond
	// invalidShare is the share of configurations that are invalid, concurrentShare
	// the share that are sent concurrently with the previous one.
	invalidShare    = 0.15
	concurrentShare = 0.2
	// evacuationShare is the share of configuration changes after which a zone is
	// evacuated.
	evacuationShare = 0.15
	// recentCount is how many of the latest configurations callers take keys and routes
	// from.
	recentCount = 4
)

// operator changes and reads the configuration and evacuates zones.
type operator struct {
	deployment *deployment
	client     *http.Client
	// calm is true once the calm phase has begun.
	calm atomic.Bool

	mu          sync.Mutex
	random      *rand.Rand
	version     uint64
	versions    []uint64
	extraRoutes map[uint64]*routeInfo
	// waiters receive the control VM that acknowledges the next configuration.
	waiters []chan *vm
	stopped bool
	// evacuating allows only one evacuated zone at a time, so that every pool keeps
	// servers.
	evacuating sync.Mutex
}

func newOperator(d *deployment, random *rand.Rand) *operator {
	return &operator{
		deployment: d, random: random, extraRoutes: make(map[uint64]*routeInfo),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (o *operator) randomFloat() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.Float64()
}

func (o *operator) randomControl() *vm {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.deployment.controls[o.random.IntN(len(o.deployment.controls))]
}

// run changes and reads configurations and evacuates zones until the run ends.
func (o *operator) run(ctx context.Context) error {
	orders := dhgroup.New(ctx)
	orders.Go(o.read)
	for {
		o.mu.Lock()
		stopped := o.stopped
		o.mu.Unlock()
		if !stopped {
			for concurrent := true; concurrent; concurrent = o.randomFloat() < concurrentShare {
				version, c := o.nextConfiguration()
				orders.Go(func(ctx context.Context) error {
					o.change(ctx, version, c)
					return nil
				})
			}
			if o.randomFloat() < evacuationShare {
				orders.Go(func(ctx context.Context) error {
					o.evacuate(ctx)
					return nil
				})
			}
		}
		if dhtimer.Sleep(ctx, o.deployment.soak.Timers, changePeriod/4+time.Duration(o.randomFloat()*float64(changePeriod))) != nil {
			return orders.Wait()
		}
	}
}

// keyOf returns the key that only a configuration and the next one contain.
func keyOf(version uint64) string { return fmt.Sprintf("key-%d", version) }

// nextConfiguration generates the next configuration.
func (o *operator) nextConfiguration() (uint64, sentConfiguration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	previous := o.version
	o.version += 1 + uint64(o.random.IntN(3))
	version := o.version
	extra := &routeInfo{name: fmt.Sprintf("extra-%d", version), pool: poolPlain, models: []string{""}, repeatable: true, attempts: 2}
	s := sentConfiguration{valid: o.random.Float64() >= invalidShare || previous == 0, keys: []string{keyAlways, keyOf(version), keyOf(previous)}}
	var list []dhtable.Route
	for _, r := range append([]*routeInfo{extra}, routes...) {
		s.routes = append(s.routes, r.name)
		list = append(list, r.configured())
	}
	if !s.valid {
		list[0].Pool = "unknown"
	}
	text, err := platform.EncodeConfiguration(version, map[string][]string{accountName: s.keys}, list, configuredPools())
	if err != nil {
		panic(err) // only strings and numbers are encoded
	}
	s.text = string(text)
	if s.valid {
		o.versions = append(o.versions, version)
		o.extraRoutes[version] = extra
	}
	return version, s
}

func (r *routeInfo) configured() dhtable.Route {
	const (
		objective = time.Second
		pause     = 500 * time.Millisecond
	)
	t := dhtable.Route{
		Name: r.name, Pool: r.pool, Deadline: callerDeadline, Repeatable: r.repeatable && !r.stream,
		Forwarding: dhtable.Forwarding{Match: dhtable.Match{Host: hostName, PathPrefix: r.prefix()}, MaxAttempts: r.attempts, Objective: objective},
	}
	if r.stream {
		t.Cascade, t.Stream, t.Resumable, t.MaxEventGap = r.models, true, r.repeatable, pause
	}
	return t
}

// configuredPools returns the two pools with their request limits for cold
// backend servers.
func configuredPools() []dhtable.Pool {
	const maxConnections = 400
	traits := dhtable.Traits{MaxConnections: maxConnections, ColdFor: coldFor, ColdPerSecond: coldPerSecond}
	costs := map[string]dhtable.Model{models[0]: {CostPer1000Tokens: 0.1}, models[1]: {CostPer1000Tokens: 0.2}}
	return []dhtable.Pool{
		{Name: poolEngine, Kind: dhtable.Engine, Models: costs, Traits: traits}, {Name: poolPlain, Kind: dhtable.Service, Traits: traits},
	}
}

// otherRoute returns the extra route of a recent configuration.
func (o *operator) otherRoute(random *rand.Rand) *routeInfo {
	version, ok := o.recentVersion(random)
	if !ok {
		return routes[0]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.extraRoutes[version]
}

// otherKey returns the extra key of a recent configuration.
func (o *operator) otherKey(random *rand.Rand) string {
	version, ok := o.recentVersion(random)
	if !ok {
		return keyAlways
	}
	return keyOf(version)
}

func (o *operator) recentVersion(random *rand.Rand) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.versions[max(0, len(o.versions)-recentCount):]
	if len(list) == 0 {
		return 0, false
	}
	return list[random.IntN(len(list))], true
}

// order retries a call at random control VMs until the status of the answer is
// from 200 to 499, and returns the control VM and the status.
func (o *operator) order(ctx context.Context, method, path string, body []byte) (*vm, int) {
	limited, cancel := dhtimer.WithTimeout(ctx, o.deployment.soak.Timers, orderLimit)
	defer cancel()
	for limited.Err() == nil {
		v := o.randomControl()
		if status, _ := o.call(limited, v, method, path, body); status >= 200 && status < 500 {
			return v, status
		}
		_ = dhtimer.Sleep(limited, o.deployment.soak.Timers, repeatPause) // the loop ends at the time limit
	}
	return nil, 0
}

func (o *operator) call(ctx context.Context, v *vm, method, path string, body []byte) (int, string) {
	limited, cancel := dhtimer.WithTimeout(ctx, o.deployment.soak.Timers, callLimit)
	defer cancel()
	return call(limited, o.client, method, address(v.publicIP, portControl), path, body)
}

// change sends a configuration until it is answered, and sometimes repeats it.
func (o *operator) change(ctx context.Context, version uint64, c sentConfiguration) {
	const repeatShare = 0.2
	o.deployment.checker.ConfigurationSent(version, c)
	for repeat := true; repeat; repeat = o.randomFloat() < repeatShare {
		v, status := o.order(ctx, http.MethodPost, platform.PathReplaceConfig, []byte(c.text))
		if v == nil {
			return
		}
		o.deployment.checker.ConfigurationAcknowledged(version, v.name, status)
		if status == http.StatusOK {
			o.notifyWaiters(v)
		}
	}
}

// notifyWaiters passes the VM that has acknowledged a configuration to the faults
// that wait for one.
func (o *operator) notifyWaiters(v *vm) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.waiters {
		c <- v
	}
	o.waiters = nil
}

// awaitAcknowledgement waits for the next acknowledgement of a configuration and returns
// the control VM that gave it.
func (o *operator) awaitAcknowledgement(ctx context.Context, wait time.Duration) *vm {
	c := make(chan *vm, 1)
	o.mu.Lock()
	o.waiters = append(o.waiters, c)
	o.mu.Unlock()
	limited, cancel := dhtimer.WithTimeout(ctx, o.deployment.soak.Timers, wait)
	defer cancel()
	select {
	case v := <-c:
		return v
	case <-limited.Done():
		return nil
	}
}

// evacuate evacuates a random zone for a while and ends the evacuation in any
// case.
func (o *operator) evacuate(ctx context.Context) {
	o.evacuating.Lock()
	defer o.evacuating.Unlock()
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	name := zone(o.random.IntN(zones))
	lasts := time.Duration(o.random.Int64N(int64(evacuateBound * 2)))
	o.mu.Unlock()
	begin, finish := platform.PathStartEvacuation+name, platform.PathFinishEvacuation+name
	if v, status := o.order(ctx, http.MethodPost, begin, nil); v != nil {
		o.deployment.checker.Evacuated(name, status == http.StatusOK)
	}
	_ = dhtimer.Sleep(ctx, o.deployment.soak.Timers, lasts) // the evacuation is ended in any case
	o.deployment.checker.Evacuated(name, false)
	for ctx.Err() == nil {
		if v, status := o.order(ctx, http.MethodPost, finish, nil); v != nil {
			if status != http.StatusOK {
				o.deployment.checker.RecordViolation("evacuation", "%s refuses to end the evacuation of %s with %d", v.name, name, status)
			}
			return
		}
	}
}

// read periodically reads the configuration from a random control VM.
func (o *operator) read(ctx context.Context) error {
	for dhtimer.Sleep(ctx, o.deployment.soak.Timers, readPeriod) == nil {
		o.readAt(ctx, o.randomControl())
	}
	return nil
}

// readAt reads the configuration from a control VM and reports whether it was
// returned.
func (o *operator) readAt(ctx context.Context, v *vm) bool {
	sentAt := o.deployment.soak.Timers.Now()
	status, text := o.call(ctx, v, http.MethodGet, platform.PathReadConfig, nil)
	if status != http.StatusOK {
		return false
	}
	version, err := platform.ConfigurationVersion([]byte(text))
	if err != nil {
		o.deployment.checker.RecordViolation("config", "%s returns a configuration that cannot be decoded: %v", v.name, err)
		return false
	}
	o.deployment.checker.ReadBack(version, text, v.name, sentAt)
	return true
}

// readBack stops the changes and reads the configuration from every control VM.
func (o *operator) readBack(ctx context.Context) error {
	o.mu.Lock()
	o.stopped = true
	o.mu.Unlock()
	if err := dhtimer.Sleep(ctx, o.deployment.soak.Timers, applyBound+callLimit); err != nil {
		return err
	}
	for _, v := range o.deployment.controls {
		limited, cancel := dhtimer.WithTimeout(ctx, o.deployment.soak.Timers, orderLimit)
		found := false
		for !found && limited.Err() == nil {
			if found = o.readAt(limited, v); !found {
				_ = dhtimer.Sleep(limited, o.deployment.soak.Timers, repeatPause) // the loop ends at the time limit
			}
		}
		cancel()
		if !found && ctx.Err() == nil {
			o.deployment.checker.ReadFailed(v.name)
		}
	}
	return nil
}
