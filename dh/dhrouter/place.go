package dhrouter

import (
	"slices"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhbackend"
	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhtable"
)

// PlaceRequest is what placement depends on.
type PlaceRequest struct {
	Pool    string
	Version dhtable.Version
	// Zone is that of the entry VM.
	Zone   string
	Prompt string
	// Exclude are backend servers that failed the request.
	Exclude    []string
	ZoneWeight map[string]float64
	// Open reports whether a backend server's circuit breaker is open.
	Open func(id string) bool
}

// Placement is a chosen backend server. Done is called once when the attempt
// has ended, with the time to its first token.
type Placement struct {
	Backend *dhbackend.Backend
	Done    func(firstToken time.Duration, err error)
}

// LeastLoaded is the default Placer: the ready backend server with the fewest
// of this VM's own requests. The zero value is ready.
type LeastLoaded struct {
	mu      sync.Mutex
	running map[string]int
}

// Place implements Placer. It returns the code no-backend when none has the version.
func (l *LeastLoaded) Place(view *dhbackend.View, req PlaceRequest) (Placement, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *dhbackend.Backend
	for _, b := range view.Pool(req.Pool) {
		if b.State != dhbackend.Ready || !b.Has(req.Version) || slices.Contains(req.Exclude, b.ID) || req.Open(b.ID) {
			continue
		}
		if best == nil || l.running[b.ID] < l.running[best.ID] {
			best = b
		}
	}
	if best == nil {
		return Placement{}, dhcode.Errorf(dhcode.NoBackend, "no backend server of pool %q has version %q", req.Pool, req.Version)
	}
	if l.running == nil {
		l.running = make(map[string]int)
	}
	l.running[best.ID]++
	id := best.ID
	return Placement{Backend: best, Done: func(time.Duration, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.running[id]--
	}}, nil
}
