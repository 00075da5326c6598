package dhrouter

import (
	"sync"
	"time"

	"dandelionhoist.example/dh/dhversion"
)

// maxSessions bounds the number of sessions in one generation.
const maxSessions = 16_384

// sessions records which release last served each session, so that a session
// that began before a rollout is not moved to the rollout's target during the
// trial. The zero value keeps no sessions. It is safe for concurrent use.
//
// Two generations bound the memory: a session is forgotten between one and two
// retention times after the end of its last attempt.
type sessions struct {
	mu                sync.Mutex
	retention         time.Duration
	rotated           time.Time
	current, previous map[sessionKey]sessionEntry
}

type sessionKey struct{ pool, session string }

type sessionEntry struct {
	release string
	seen    time.Time
	// running is the number of attempts that have not ended.
	running int
}

// recent reports whether a session may still continue.
func (s *sessions) recent(row sessionEntry, now time.Time) bool {
	return row.running > 0 || now.Sub(row.seen) <= s.retention
}

func (s *sessions) find(k sessionKey) (sessionEntry, bool) {
	row, ok := s.current[k]
	if !ok {
		row, ok = s.previous[k]
	}
	return row, ok
}

// get returns the release of a session that was served within the retention time.
func (s *sessions) get(pool, session string, now time.Time) (release string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.find(sessionKey{pool, session})
	if !ok || !s.recent(row, now) {
		return "", false
	}
	return row.release, true
}

// begin records the start of an attempt of a session on a release.
func (s *sessions) begin(pool, session, release string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retention <= 0 {
		return
	}
	s.rotate(now)
	k := sessionKey{pool, session}
	row, _ := s.find(k)
	s.store(k, sessionEntry{release, now, row.running + 1})
}

// end records the end of an attempt, from which the retention time counts. The release
// of a later attempt remains.
func (s *sessions) end(pool, session string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := sessionKey{pool, session}
	if row, ok := s.find(k); ok {
		row.seen, row.running = now, max(row.running-1, 0)
		s.store(k, row)
	}
}

// store keeps an entry in the current generation unless that is full.
func (s *sessions) store(k sessionKey, row sessionEntry) {
	_, known := s.current[k]
	_, old := s.previous[k]
	switch {
	case known || len(s.current) < maxSessions:
		s.current[k] = row
	case old:
		s.previous[k] = row
	}
}

// rotate begins a new generation after the retention time. It keeps sessions with
// running attempts.
func (s *sessions) rotate(now time.Time) {
	if s.current != nil && now.Sub(s.rotated) <= s.retention {
		return
	}
	dropped := s.previous
	s.previous, s.current, s.rotated = s.current, make(map[sessionKey]sessionEntry), now
	for k, row := range dropped {
		if _, ok := s.previous[k]; !ok && row.running > 0 {
			s.current[k] = row
		}
	}
}

// hashes returns the hashes, up to limit, of the sessions of a pool that another release
// than the target has served and may still continue.
func (s *sessions) hashes(pool, target string, limit uint64, now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []uint64
	add := func(k sessionKey, row sessionEntry) {
		if k.pool != pool || row.release == target || !s.recent(row, now) {
			return
		}
		if hash := dhversion.SessionHash(pool, target, k.session); hash < limit {
			list = append(list, hash)
		}
	}
	for k, row := range s.current {
		add(k, row)
	}
	for k, row := range s.previous {
		if _, newer := s.current[k]; !newer {
			add(k, row)
		}
	}
	return list
}

// SessionHashes returns the hashes below a limit of the sessions that this VM has served
// on another release than the target of a rollout and that may still continue.
func (r *Router) SessionHashes(pool, target string, limit uint64) []uint64 {
	return r.sessions.hashes(pool, target, limit, r.Timers.Now())
}
