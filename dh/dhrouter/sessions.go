package dhrouter

import (
	"sync"
	"time"
)

// maxSessions bounds the number of sessions in one generation.
const maxSessions = 16_384

// sessions records which release last served each session, so that a session
// that began before a rollout is not moved to the rollout's target during the
// trial. The zero value keeps no sessions. It is safe for concurrent use.
//
// Two generations bound the memory: a session is forgotten between one and two
// retention times after its last request.
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
}

// get returns the release of a session that was seen within the retention time.
func (s *sessions) get(pool, session string, now time.Time) (release string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := sessionKey{pool, session}
	row, ok := s.current[k]
	if !ok {
		row, ok = s.previous[k]
	}
	if !ok || now.Sub(row.seen) > s.retention {
		return "", false
	}
	return row.release, true
}

// put records the release that serves a session.
func (s *sessions) put(pool, session, release string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retention <= 0 {
		return
	}
	if s.current == nil || now.Sub(s.rotated) > s.retention {
		s.previous, s.current, s.rotated = s.current, make(map[sessionKey]sessionEntry), now
	}
	if len(s.current) < maxSessions {
		s.current[sessionKey{pool, session}] = sessionEntry{release, now}
	}
}
