package dhcontrol

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhversion"
)

// maxTrialSessions bounds the sessions listed for a rollout: 32 KiB per control VM and
// entry VM. With 470 sessions per second, sessions of 8.5 s and a trial share of 1.3%,
// 52 are listed.
const maxTrialSessions = 4_096

// trialSessions holds, for each rollout in its trial, the sessions that entry VMs have
// served on another version than the target. It is safe for concurrent use.
type trialSessions struct {
	mu         sync.Mutex
	operations uint64
	lists      map[uint64]*trialList
}

// trialList is the list of one rollout. It is only appended to, so that a caller needs
// just the hashes after its position.
type trialList struct {
	share     float64
	learnedAt time.Time
	delay     time.Duration
	hashes    []uint64
	known     map[uint64]bool
	// limit is the lowest hash that did not fit, or 0.
	limit uint64
}

// setOperations begins the lists of new trials and drops those of trials that have ended.
func (t *trialSessions) setOperations(o *dhpb.Operations, now time.Time) {
	if o.GetNumber() <= t.operations {
		return
	}
	t.operations = o.GetNumber()
	lists := make(map[uint64]*trialList)
	for _, r := range o.GetRollouts() {
		if r.GetState() != dhpb.RolloutState_ROLLOUT_STATE_TRIAL {
			continue
		}
		l := t.lists[r.GetNumber()]
		if l == nil {
			l = &trialList{
				share: r.GetShare(), learnedAt: now, delay: dhversion.TrialDelay(r.GetDuration().AsDuration()), known: make(map[uint64]bool),
			}
		}
		lists[r.GetNumber()] = l
	}
	t.lists = lists
}

// merge adds reported hashes. It returns the number of those that did not fit.
func (l *trialList) merge(row *dhpb.TrialSessions) (dropped int) {
	l.lower(row.GetLimit())
	for _, hash := range row.GetHashes() {
		switch {
		case dhversion.Position(hash) >= l.share || l.limit > 0 && hash >= l.limit || l.known[hash]:
		case len(l.hashes) >= maxTrialSessions:
			l.lower(hash)
			dropped++
		default:
			l.known[hash] = true
			l.hashes = append(l.hashes, hash)
		}
	}
	return dropped
}

// lower lowers the limit to a hash, unless that is 0.
func (l *trialList) lower(hash uint64) {
	if hash > 0 && (l.limit == 0 || hash < l.limit) {
		l.limit = hash
	}
}

// mergeTrialSessions adds the sessions that another VM reports. It returns the positions
// of the rows that it has taken, for the next request to that VM.
func (c *Control) mergeTrialSessions(from string, rows []*dhpb.TrialSessions) (taken []*dhpb.TrialSessions) {
	if len(rows) == 0 {
		return nil
	}
	_, operations := c.state()
	t := &c.trialSessions
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setOperations(operations, c.Timers.Now())
	for _, row := range rows {
		l := t.lists[row.GetRollout()]
		if l == nil {
			continue // the trial has ended, or this VM has not learned of it
		}
		taken = append(taken, &dhpb.TrialSessions{Rollout: row.GetRollout(), Position: row.GetPosition()})
		if dropped := l.merge(row); dropped > 0 {
			c.Metrics.Count("trial-session", "dropped")
			c.Log.Warn("list of trial sessions full, trial share lowered", slog.Uint64("rollout", row.GetRollout()), slog.String("from", from),
				slog.Int("dropped", dropped), slog.Float64("planned", l.share), slog.Float64("share", dhversion.Position(l.limit)))
		}
	}
	return taken
}

// trialSessionRows returns, for each rollout in its trial, the sessions that the caller
// does not have yet.
func (c *Control) trialSessionRows(o *dhpb.Operations, m *dhpb.ControlWatchRequest) []*dhpb.TrialSessions {
	now := c.Timers.Now()
	t := &c.trialSessions
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setOperations(o, now)
	rows := make([]*dhpb.TrialSessions, 0, len(t.lists))
	for number, l := range t.lists {
		after := 0
		for _, row := range m.GetReport().GetTrialSessions() {
			if row.GetRollout() == number && m.GetEpoch() == c.Incarnation {
				after = min(int(row.GetPosition()), len(l.hashes))
			}
		}
		rows = append(rows, &dhpb.TrialSessions{
			Rollout: number, Hashes: slices.Clone(l.hashes[after:]), Position: uint32(len(l.hashes)), Limit: l.limit,
			Settled: now.Sub(l.learnedAt) >= l.delay && c.inMajority(),
		})
	}
	return rows
}
