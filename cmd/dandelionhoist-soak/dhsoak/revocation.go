package dhsoak

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionhoist.example/dh/dhgroup"
	"dandelionhoist.example/dh/dhtimer"
)

const (
	// revocationCut is how long entry VMs are cut off from the control VMs while their keys are
	// revoked. It leaves time for the configurations that revoke them.
	revocationCut = keyBound + 2*time.Second
	// keyCallers is the number of callers that send with a revoked key to each entry VM that was
	// cut off, and keyThinkTime the longest time between two requests of one. A VM that accepts
	// a revoked key after a cut does so for milliseconds.
	keyCallers   = 8
	keyThinkTime = 2 * time.Millisecond
	// keyTime is how long they send before and after the end of the cut. The entry VM refuses
	// all keys by then, so that they put no load on backend servers.
	keyTime = 200 * time.Millisecond
)

// revokeDuringCut cuts all entry VMs but the first off from the control VMs until the keys that
// they know have been revoked, and sends requests with one of these from shortly before the end
// of the cut until after it.
func (d *deployment) revokeDuringCut(ctx context.Context, o *operator) error {
	key, ok := o.acceptedKey()
	if !ok {
		return nil
	}
	cutOff := d.entries[1:]
	defer d.checker.Disturb(disturbedBy(cutOff)...)()
	var links []link
	for _, v := range cutOff {
		for _, c := range d.controls {
			links = append(links, link{v.name, c.name}, link{c.name, v.name})
		}
	}
	heal := d.network.cut(links...)
	if err := dhtimer.Sleep(ctx, d.soak.Timers, revocationCut-keyTime); err != nil {
		heal()
		return err
	}
	callers := dhgroup.New(ctx)
	for i, v := range cutOff {
		for k := range keyCallers {
			c := &caller{
				deployment: d, operator: o, entry: v, random: rand.New(rand.NewPCG(d.soak.Seed, keyStream+uint64(i*keyCallers+k))),
				client: newCallerClient(),
			}
			callers.Go(func(ctx context.Context) error { return c.sendWith(ctx, key) })
		}
	}
	_ = dhtimer.Sleep(ctx, d.soak.Timers, keyTime) // the callers end with ctx
	heal()
	_ = dhtimer.Sleep(ctx, d.soak.Timers, keyTime)
	callers.Stop()
	return callers.Wait()
}

// sendWith sends requests with a key until ctx ends.
func (c *caller) sendWith(ctx context.Context, key string) error {
	defer c.client.CloseIdleConnections()
	look := routes[len(routes)-1]
	for dhtimer.Sleep(ctx, c.deployment.soak.Timers, time.Duration(c.random.Int64N(int64(keyThinkTime)))) == nil {
		r, body := c.newRequest(look, key)
		c.send(ctx, r, body)
	}
	return nil
}

// acceptedKey returns the key that the newest two configurations have in common. ok is false
// if there are not that many.
func (o *operator) acceptedKey() (key string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.versions) < 2 {
		return "", false
	}
	return keyOf(o.versions[len(o.versions)-2]), true
}
