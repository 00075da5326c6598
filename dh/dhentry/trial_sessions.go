package dhentry

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"dandelionhoist.example/dh/dhmetric"
	"dandelionhoist.example/dh/dhpb"
	"dandelionhoist.example/dh/dhversion"
	"dandelionhoist.example/dh/dhwatch"
)

// maxReportedSessions bounds the sessions in a report to 2 KiB per rollout. The others
// follow in the next reports.
const maxReportedSessions = 256

// trials holds the rollouts in their trial and the sessions that must stay off their
// targets. It is safe for concurrent use.
type trials struct {
	mu         sync.Mutex
	operations uint64
	rows       map[uint64]*trial
	// control and epoch identify the control VM process that the acknowledged hashes and
	// positions of the rows belong to.
	control string
	epoch   uint64
}

type trial struct {
	pool, target string
	share        float64
	// opensAt is when the trial begins if no control VM states earlier that its list is
	// settled.
	opensAt time.Time
	open    bool
	// kept holds all listed sessions. It is replaced, not changed.
	kept map[uint64]bool
	// acknowledged holds the hashes that the present control VM lists.
	acknowledged map[uint64]bool
	position     uint32
	limit        uint64
}

// update takes a response of a control VM. It is called before the next report is made,
// so that the report has this VM's sessions of a rollout that the response begins.
func (t *trials) update(u dhwatch.Update, now time.Time, log *slog.Logger, metrics *dhmetric.Metrics) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := u.GetOperations(); o.GetNumber() > t.operations {
		t.operations = o.GetNumber()
		t.setRollouts(o, now)
	}
	if u.From != t.control || u.GetEpoch() != t.epoch {
		t.control, t.epoch = u.From, u.GetEpoch()
		for _, row := range t.rows {
			row.acknowledged, row.position = make(map[uint64]bool), 0
		}
	}
	settled := make(map[uint64]bool)
	for _, r := range u.GetTrialSessions() {
		if row := t.rows[r.GetRollout()]; row != nil {
			row.merge(r)
			settled[r.GetRollout()] = r.GetSettled()
		}
	}
	for number, row := range t.rows {
		if !row.open && (settled[number] || !now.Before(row.opensAt)) {
			row.open = true
			name := "not-settled"
			if settled[number] {
				name = "settled"
			}
			metrics.Count("trial", name)
			log.Info("trial begins", slog.String("pool", row.pool), slog.String("target", row.target), slog.Bool("settled", settled[number]),
				slog.Int("kept", len(row.kept)), slog.Float64("planned", row.share), slog.Float64("share", row.trialShare()))
		}
	}
}

// setRollouts adds the rollouts that are in their trial and drops all others.
func (t *trials) setRollouts(o *dhpb.Operations, now time.Time) {
	rows := make(map[uint64]*trial)
	for _, r := range o.GetRollouts() {
		if r.GetState() != dhpb.RolloutState_ROLLOUT_STATE_TRIAL {
			continue
		}
		row := t.rows[r.GetNumber()]
		if row == nil {
			row = &trial{
				pool: r.GetPool(), target: r.GetTarget(), share: r.GetShare(),
				opensAt: now.Add(dhversion.TrialDelay(r.GetDuration().AsDuration())), acknowledged: make(map[uint64]bool),
			}
		}
		rows[r.GetNumber()] = row
	}
	t.rows = rows
}

func (t *trial) merge(r *dhpb.TrialSessions) {
	var added []uint64
	for _, hash := range r.GetHashes() {
		t.acknowledged[hash] = true
		if !t.kept[hash] {
			added = append(added, hash)
		}
	}
	if len(added) > 0 {
		kept := make(map[uint64]bool, len(t.kept)+len(added))
		maps.Copy(kept, t.kept)
		for _, hash := range added {
			kept[hash] = true
		}
		t.kept = kept
	}
	t.position = r.GetPosition()
	if limit := r.GetLimit(); limit > 0 && (t.limit == 0 || limit < t.limit) {
		t.limit = limit
	}
}

// trialShare returns the share of the sessions whose list is complete.
func (t *trial) trialShare() float64 {
	if t.limit > 0 {
		return min(t.share, dhversion.Position(t.limit))
	}
	return t.share
}

// get returns the share of the sessions that may use the target of a rollout in its
// trial and the sessions that may not.
func (t *trials) get(number uint64) (share float64, kept map[uint64]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[number]
	if row == nil || !row.open {
		return 0, nil
	}
	return row.trialShare(), row.kept
}

// report returns the sessions that the control VM does not list yet: those that served
// returns, and those that another control VM listed.
func (t *trials) report(served func(pool, target string, limit uint64) []uint64) []*dhpb.TrialSessions {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*dhpb.TrialSessions
	for number, row := range t.rows {
		limit := row.limit
		if limit == 0 {
			limit = hashLimit(row.share)
		}
		missing := served(row.pool, row.target, limit)
		for hash := range row.kept {
			missing = append(missing, hash)
		}
		missing = slices.DeleteFunc(missing, func(hash uint64) bool { return hash >= limit || row.acknowledged[hash] })
		slices.Sort(missing)
		missing = slices.Compact(missing)
		list = append(list, &dhpb.TrialSessions{
			Rollout: number, Hashes: missing[:min(len(missing), maxReportedSessions)], Position: row.position, Limit: row.limit,
		})
	}
	return list
}

// hashLimit returns a hash from which on the position of a session is at least a share.
func hashLimit(share float64) uint64 {
	if share >= 1 {
		return math.MaxUint64
	}
	return uint64(max(share, 0)*(1<<53)+1) << 11
}
