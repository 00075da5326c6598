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
	// changePeriod is the longest time between two configurations, readPeriod the
	// time between two reads.
	changePeriod = 900 * time.Millisecond
	readPeriod   = 100 * time.Millisecond
	// callLimit bounds a call, orderLimit the time in which an order is repeated.
	callLimit  = time.Second
	orderLimit = 4 * time.Second
	// repeatPause is the time between two calls of the same order.
	repeatPause = 100 * time.Millisecond
	// invalidPart of the configurations are invalid, racedPart come two at a time.
	invalidPart = 0.15
	racedPart   = 0.2
	// evacuatedPart is how often a zone is taken out after a configuration.
	evacuatedPart = 0.15
	// recent is how many of the last configurations callers know.
	recent = 4
)

// operator changes and reads the configuration and takes zones out.
type operator struct {
	deployment *deployment
	client     *http.Client
	// calm tells that the calm span has begun.
	calm atomic.Bool

	mu       sync.Mutex
	random   *rand.Rand
	version  uint64
	versions []uint64
	other    map[uint64]*routeInfo
	// waiting gets the control VM that acknowledges the next order.
	waiting []chan *vm
	stopped bool
	// evacuating lets one zone be out at a time, so that every pool keeps servers.
	evacuating sync.Mutex
}

func newOperator(d *deployment, random *rand.Rand) *operator {
	return &operator{
		deployment: d, random: random, other: make(map[uint64]*routeInfo),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (o *operator) roll() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.Float64()
}

func (o *operator) somewhere() *vm {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.deployment.controls[o.random.IntN(len(o.deployment.controls))]
}

// run plays the operator until the run ends.
func (o *operator) run(ctx context.Context) error {
	orders := dhgroup.New(ctx)
	orders.Go(o.read)
	for {
		o.mu.Lock()
		stopped := o.stopped
		o.mu.Unlock()
		if !stopped {
			for raced := true; raced; raced = o.roll() < racedPart {
				version, c := o.next()
				orders.Go(func(ctx context.Context) error {
					o.change(ctx, version, c)
					return nil
				})
			}
			if o.roll() < evacuatedPart {
				orders.Go(func(ctx context.Context) error {
					o.evacuate(ctx)
					return nil
				})
			}
		}
		if dhtimer.Sleep(ctx, o.deployment.soak.Timers, changePeriod/4+time.Duration(o.roll()*float64(changePeriod))) != nil {
			return orders.Wait()
		}
	}
}

// keyOf is the key that a configuration and the next one hold.
func keyOf(version uint64) string { return fmt.Sprintf("key-%d", version) }

// next makes the next configuration.
func (o *operator) next() (uint64, sentConfiguration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	previous := o.version
	o.version += 1 + uint64(o.random.IntN(3))
	version := o.version
	extra := &routeInfo{name: fmt.Sprintf("extra-%d", version), pool: poolPlain, models: []string{""}, repeatable: true, attempts: 2}
	s := sentConfiguration{valid: o.random.Float64() >= invalidPart || previous == 0, keys: []string{keyAlways, keyOf(version), keyOf(previous)}}
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
		panic(err) // only strings and numbers
	}
	s.text = string(text)
	if s.valid {
		o.versions = append(o.versions, version)
		o.other[version] = extra
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
		Passing: dhtable.Passing{Match: dhtable.Match{Host: hostName, PathPrefix: r.prefix()}, MaxAttempts: r.attempts, Objective: objective},
	}
	if r.stream {
		t.Cascade, t.Stream, t.Resumable, t.Pause = r.models, true, r.repeatable, pause
	}
	return t
}

// configuredPools returns the two pools with their bound of cold starts.
func configuredPools() []dhtable.Pool {
	const maxConnections = 400
	traits := dhtable.Traits{MaxConnections: maxConnections, ColdFor: coldFor, ColdPerSecond: coldPerSecond}
	costs := map[string]dhtable.Model{models[0]: {CostPer1000Tokens: 0.1}, models[1]: {CostPer1000Tokens: 0.2}}
	return []dhtable.Pool{
		{Name: poolEngine, Kind: dhtable.Engine, Models: costs, Traits: traits}, {Name: poolPlain, Kind: dhtable.Service, Traits: traits},
	}
}

// otherRoute returns the route of a recent configuration.
func (o *operator) otherRoute(random *rand.Rand) *routeInfo {
	version, ok := o.recentVersion(random)
	if !ok {
		return routes[0]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.other[version]
}

// otherKey returns the key of a recent configuration.
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
	list := o.versions[max(0, len(o.versions)-recent):]
	if len(list) == 0 {
		return 0, false
	}
	return list[random.IntN(len(list))], true
}

// order repeats a call at any control VM until it is answered clearly, and
// returns the answer.
func (o *operator) order(ctx context.Context, method, path string, body []byte) (*vm, int) {
	limited, cancel := dhtimer.WithTimeout(ctx, o.deployment.soak.Timers, orderLimit)
	defer cancel()
	for limited.Err() == nil {
		v := o.somewhere()
		if status, _ := o.call(limited, v, method, path, body); status >= 200 && status < 500 {
			return v, status
		}
		_ = dhtimer.Sleep(limited, o.deployment.soak.Timers, repeatPause) // the loop ends with the limit
	}
	return nil, 0
}

func (o *operator) call(ctx context.Context, v *vm, method, path string, body []byte) (int, string) {
	limited, cancel := dhtimer.WithTimeout(ctx, o.deployment.soak.Timers, callLimit)
	defer cancel()
	return call(limited, o.client, method, address(v.public, portControl), path, body)
}

// change sends a configuration until it is answered, and now and then once more.
func (o *operator) change(ctx context.Context, version uint64, c sentConfiguration) {
	const again = 0.2
	o.deployment.judge.Ordered(version, c)
	for repeat := true; repeat; repeat = o.roll() < again {
		v, status := o.order(ctx, http.MethodPost, platform.PathReplaceConfig, []byte(c.text))
		if v == nil {
			return
		}
		o.deployment.judge.Acknowledged(version, v.name, status)
		if status == http.StatusOK {
			o.tell(v)
		}
	}
}

// tell hands the VM that has acknowledged an order to a fault that waits for one.
func (o *operator) tell(v *vm) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.waiting {
		c <- v
	}
	o.waiting = nil
}

// acknowledger waits for the next acknowledgement of a configuration and returns
// the control VM that gave it.
func (o *operator) acknowledger(ctx context.Context, wait time.Duration) *vm {
	c := make(chan *vm, 1)
	o.mu.Lock()
	o.waiting = append(o.waiting, c)
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

// evacuate takes a zone out for a while. In the end every zone is back.
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
	begin, finish := platform.PathStartEvacuation+name, platform.PathEndEvacuation+name
	if v, status := o.order(ctx, http.MethodPost, begin, nil); v != nil {
		o.deployment.judge.Evacuated(name, status == http.StatusOK)
	}
	_ = dhtimer.Sleep(ctx, o.deployment.soak.Timers, lasts) // the zone is taken back in any case
	o.deployment.judge.Evacuated(name, false)
	for ctx.Err() == nil {
		if v, status := o.order(ctx, http.MethodPost, finish, nil); v != nil {
			if status != http.StatusOK {
				o.deployment.judge.Broken("evacuation", "%s refuses to take back %s with %d", v.name, name, status)
			}
			return
		}
	}
}

// read reads the configuration at one control VM after the other.
func (o *operator) read(ctx context.Context) error {
	for dhtimer.Sleep(ctx, o.deployment.soak.Timers, readPeriod) == nil {
		o.readAt(ctx, o.somewhere())
	}
	return nil
}

// readAt reads the configuration at a control VM and reports whether it was told.
func (o *operator) readAt(ctx context.Context, v *vm) bool {
	sentAt := o.deployment.soak.Timers.Now()
	status, text := o.call(ctx, v, http.MethodGet, platform.PathReadConfig, nil)
	if status != http.StatusOK {
		return false
	}
	version, err := platform.VersionOf([]byte(text))
	if err != nil {
		o.deployment.judge.Broken("config", "%s tells a configuration that cannot be read: %v", v.name, err)
		return false
	}
	o.deployment.judge.ReadBack(version, text, v.name, sentAt)
	return true
}

// readBack stops the changes and reads the newest configuration everywhere.
func (o *operator) readBack(ctx context.Context) error {
	o.mu.Lock()
	o.stopped = true
	o.mu.Unlock()
	if err := dhtimer.Sleep(ctx, o.deployment.soak.Timers, applyBound+callLimit); err != nil {
		return err
	}
	for _, v := range o.deployment.controls {
		limited, cancel := dhtimer.WithTimeout(ctx, o.deployment.soak.Timers, orderLimit)
		told := false
		for !told && limited.Err() == nil {
			if told = o.readAt(limited, v); !told {
				_ = dhtimer.Sleep(limited, o.deployment.soak.Timers, repeatPause) // the loop ends with the limit
			}
		}
		cancel()
		if !told && ctx.Err() == nil {
			o.deployment.judge.Unread(v.name)
		}
	}
	return nil
}
