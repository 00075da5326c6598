package dhrouter

import (
	"sync"
	"time"
)

// maxSessions bounds the sessions of one generation.
const maxSessions = 16_384

// sessions remember which release served a session last, so that a session
// that has begun before a rollout is not moved to its target while the rollout
// is on trial. The zero value remembers nothing; it is safe for use by several
// goroutines.
//
// Two generations bound the memory: a session is forgotten between one and two
// times Keep after its last request.
type sessions struct {
	mu       sync.Mutex
	keep     time.Duration
	turned   time.Time
	new, old map[sessionKey]sessionRow
}

type sessionKey struct{ pool, session string }

type sessionRow struct {
	release string
	seen    time.Time
}

// get returns the release of a session that has been seen within the time that
// sessions are kept.
func (s *sessions) get(pool, session string, now time.Time) (release string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := sessionKey{pool, session}
	row, ok := s.new[k]
	if !ok {
		row, ok = s.old[k]
	}
	if !ok || now.Sub(row.seen) > s.keep {
		return "", false
	}
	return row.release, true
}

// put notes the release that serves a session.
func (s *sessions) put(pool, session, release string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keep <= 0 {
		return
	}
	if s.new == nil || now.Sub(s.turned) > s.keep {
		s.old, s.new, s.turned = s.new, make(map[sessionKey]sessionRow), now
	}
	if len(s.new) < maxSessions {
		s.new[sessionKey{pool, session}] = sessionRow{release, now}
	}
}
