package dhsoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// The bound on requests that crash backend servers: from crashContact after the crash
// number partCrashes of those with a part, or requestCrashes of a request that comes again,
// at most crashAllowed of them reach backend servers.
const (
	crashContact   = settleTime
	partCrashes    = 5
	requestCrashes = 3
	crashAllowed   = 3
)

const (
	// crashingShare is the share of the prompts that have the crashing part while there
	// is one, and sharedParts the number of parts that all prompts share.
	crashingShare = 0.05
	sharedParts   = 12
	// crashedFor is how long a backend server that a prompt has crashed is away.
	crashedFor = 700 * time.Millisecond
)

// crashCause is a part or a request that crashes backend servers.
type crashCause struct {
	crashes int
	// known is when it crashed so many that it must be found.
	known    time.Time
	arrivals int
}

// deadlyPath is in the paths of requests that come again and crash backend servers: one for
// each route of all configurations. deadlyShare is their share of the requests to these
// routes.
const (
	deadlyPath  = "deadly"
	deadlyShare = 0.02
)

// deadlyRequest makes a request crash the backend servers that begin to run it.
func (d *deployment) deadlyRequest(number int) (end func()) {
	path := fmt.Sprintf("%s%04x", deadlyPath, number&0xffff)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadly = path
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.deadly == path {
			d.deadly = ""
		}
	}
}

// deadlyRequestNow returns the path of the deadly request if this one is to be it, or empty.
func (d *deployment) deadlyRequestNow(random *rand.Rand) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.deadly == "" || random.Float64() >= deadlyShare {
		return ""
	}
	return d.deadly
}

// causeOf returns the part or the path of a request by which it crashes backend servers, or
// empty.
func causeOf(path, prefix string) string {
	if strings.Contains(path, deadlyPath) {
		return path
	}
	return badPartOf(prefix)
}

// crashingPart makes a part crash the backend servers that begin to answer it. Several
// may do so at the same time; the newest is sent.
func (d *deployment) crashingPart(number int) (end func()) {
	part := fmt.Sprintf("bad%04x", number&0xffff)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.badPart = part
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.badPart == part {
			d.badPart = ""
		}
	}
}

// prompt returns the parts of a request's prompt, of which some have the part that
// crashes backend servers.
func (d *deployment) prompt(random *rand.Rand, id string) string {
	prefix := fmt.Sprintf("f%d:200,5%02x:300", 1+random.IntN(2), random.IntN(sharedParts))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.badPart != "" && random.Float64() < crashingShare {
		prefix += "," + d.badPart + ":50"
	}
	return prefix + "," + id + ":20"
}

// badPartOf returns the part of a prompt that crashes backend servers, or empty.
func badPartOf(prefix string) string {
	for entry := range strings.SplitSeq(prefix, ",") {
		if id, _, _ := strings.Cut(entry, ":"); strings.HasPrefix(id, "bad") && len(id) == len("bad0000") {
			return id
		}
	}
	return ""
}

// crashBy crashes the backend server because of a part or a request. It is back after
// crashedFor.
func (b *backend) crashBy(cause, id string) {
	if b.instance() != id {
		return // it has ended already
	}
	b.deployment.checker.Crashed(cause)
	b.crash()
	if dhtimer.Sleep(b.deployment.group.Context(), b.deployment.soak.Timers, crashedFor) == nil {
		b.restart(0)
	}
}

// Crashed records that a part or a request has crashed a backend server.
func (j *Checker) Crashed(cause string) {
	defer j.lock()()
	p := j.causes[cause]
	if p == nil {
		p = &crashCause{}
		j.causes[cause] = p
	}
	if p.crashes++; p.crashes == foundBy(cause) {
		p.known = j.Timers.Now()
	}
}

// foundBy returns the number of crashes by which a cause must be found.
func foundBy(cause string) int {
	if strings.Contains(cause, deadlyPath) {
		return requestCrashes
	}
	return partCrashes
}

// checkCrashing checks that few requests reach backend servers after their cause has
// crashed enough of them. The caller holds the lock.
func (j *Checker) checkCrashing(r *request, s backendRequest, now time.Time) {
	p := j.causes[s.cause]
	if p == nil || p.known.IsZero() || now.Sub(p.known) < crashContact || !j.boundsApply(r.entry, now) {
		return
	}
	if p.arrivals++; p.arrivals == crashAllowed+1 {
		j.addViolation("crash", "request %s with %s reaches backend server %s %v after crash %d of %d, as %d others did",
			r.id, s.cause, s.backend, now.Sub(p.known), foundBy(s.cause), p.crashes, crashAllowed)
	}
}
