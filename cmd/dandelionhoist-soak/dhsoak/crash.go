package dhsoak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"dandelionhoist.example/dh/dhtimer"
)

// The bound on requests with a prompt part that crashes backend servers: from
// partContact after the crash number partCrashes, at most partAllowed of them reach
// backend servers.
const (
	partContact = settleTime
	partCrashes = 5
	partAllowed = 3
)

const (
	// crashingShare is the share of the prompts that have the crashing part while there
	// is one, and sharedParts the number of parts that all prompts share.
	crashingShare = 0.05
	sharedParts   = 12
	// crashedFor is how long a backend server that a prompt has crashed is away.
	crashedFor = 700 * time.Millisecond
)

// crashingPrompt is a part that crashes backend servers.
type crashingPrompt struct {
	crashes  int
	fifth    time.Time
	arrivals int
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

// crashBy crashes the backend server because of a prompt part. It is back after
// crashedFor.
func (b *backend) crashBy(part, id string) {
	if b.instance() != id {
		return // it has ended already
	}
	b.deployment.checker.PartCrashed(part)
	b.crash()
	if dhtimer.Sleep(b.deployment.group.Context(), b.deployment.soak.Timers, crashedFor) == nil {
		b.restart(0)
	}
}

// PartCrashed records that a prompt part has crashed a backend server.
func (j *Checker) PartCrashed(part string) {
	defer j.lock()()
	p := j.parts[part]
	if p == nil {
		p = &crashingPrompt{}
		j.parts[part] = p
	}
	if p.crashes++; p.crashes == partCrashes {
		p.fifth = j.Timers.Now()
	}
}

// checkPart checks that few requests with a part reach backend servers after it has
// crashed enough of them. The caller holds the lock.
func (j *Checker) checkPart(r *request, s backendRequest, now time.Time) {
	p := j.parts[s.part]
	if p == nil || p.fifth.IsZero() || now.Sub(p.fifth) < partContact || !j.boundsApply(r.entry, now) {
		return
	}
	if p.arrivals++; p.arrivals == partAllowed+1 {
		j.addViolation("crash", "request %s with part %s reaches backend server %s %v after crash %d of %d, as %d others did",
			r.id, s.part, s.backend, now.Sub(p.fifth), partCrashes, p.crashes, partAllowed)
	}
}
