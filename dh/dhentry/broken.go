package dhentry

import (
	"slices"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhrouter"
)

const (
	// crashSettleTime is the time after a broken answer from which another answer shows
	// that the backend server did not crash: the connections of one that crashes break
	// within this time.
	crashSettleTime = 200 * time.Millisecond
	// listedTime is the time after a broken answer from which the backend server counts
	// as alive if it is still listed: longer than control VMs take to remove one that
	// crashed.
	listedTime = 5 * time.Second
	// maxBroken bounds the broken answers that are kept.
	maxBroken = 1024
)

// backendKey identifies one incarnation of a backend server.
type backendKey struct {
	id          string
	incarnation uint64
}

// brokenAnswer is an answer that broke off during a rollout.
type brokenAnswer struct {
	event   dhrouter.Event
	rollout uint64
	at      time.Time
}

func (b brokenAnswer) key() backendKey { return backendKey{b.event.Backend, b.event.Incarnation} }

// brokenAnswers holds broken answers until it is known whether their backend server
// crashed: a crash takes requests of any version with it and is no evidence against
// one. A version that breaks off its answers does not crash.
type brokenAnswers struct{ list []brokenAnswer }

func (b *brokenAnswers) add(e dhrouter.Event, rollout uint64, now time.Time) {
	if len(b.list) < maxBroken {
		b.list = append(b.list, brokenAnswer{e, rollout, now})
	}
}

// answered removes and returns the broken answers of a backend server that has
// answered another request.
func (b *brokenAnswers) answered(k backendKey, now time.Time) []brokenAnswer {
	return b.remove(func(a brokenAnswer) bool { return a.key() == k && now.Sub(a.at) >= crashSettleTime })
}

// listed removes the broken answers whose backend server is gone or was listed for long
// enough, and returns the latter.
func (b *brokenAnswers) listed(view *dhbackend.View, now time.Time) []brokenAnswer {
	alive := func(a brokenAnswer) bool {
		backend, ok := view.Get(a.event.Backend)
		return ok && backend.Incarnation == a.event.Incarnation
	}
	b.remove(func(a brokenAnswer) bool { return !alive(a) })
	return b.remove(func(a brokenAnswer) bool { return now.Sub(a.at) >= listedTime })
}

func (b *brokenAnswers) remove(match func(brokenAnswer) bool) (removed []brokenAnswer) {
	b.list = slices.DeleteFunc(b.list, func(a brokenAnswer) bool {
		if match(a) {
			removed = append(removed, a)
			return true
		}
		return false
	})
	return removed
}
