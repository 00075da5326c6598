package dhplacement

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dandelionhoist.example/dh/dhbackend"
)

//go:generate ../../bin/stringer -type=ZoneReason -linecomment

// ZoneReason states why a request stayed in the entry VM's zone or left it.
type ZoneReason int

// A request stays (StayedLocal), or leaves because its zone has more load than it should
// take (LeftExcess), because it would be late in its zone (LeftLate), because the
// zone has no usable backend server (LeftNoServer) or the best one is in a cold start or
// fails (LeftImpaired) or has a queue although the zone has capacity (LeftBusy), for a prompt that is cached elsewhere (LeftPrefix), or since zones compete
// by a fixed penalty (LeftFixed).
const (
	StayedLocal  ZoneReason = iota // local
	LeftExcess                     // excess
	LeftLate                       // late
	LeftNoServer                   // no-server
	LeftImpaired                   // impaired
	LeftBusy                       // busy
	LeftPrefix                     // prefix
	LeftFixed                      // fixed
)

const (
	// zoneStep is the time between two steps of a share. Sums of loads change about
	// every 100 to 300 ms.
	zoneStep = 100 * time.Millisecond
	// zoneRise and zoneFall are the time constants with which a share approaches its target:
	// about three and two ages of the sums (0.4 to 0.7 s), so that the effect of a
	// step is visible before the next ones add up.
	zoneRise = 1500 * time.Millisecond
	zoneFall = 1000 * time.Millisecond
	// zoneSmooth is the time constant of the means of the loads. The load of a few servers with
	// requests of 30 ms changes by half of its slots from one sum to the next.
	zoneSmooth = 500 * time.Millisecond
	// zoneHold is the time constant with which the load of a zone that helps is taken to fall, so that a zone
	// that was full a moment ago does not help at once and two zones do not swap traffic.
	zoneHold = time.Second
	// zoneLead is how far ahead the load is extrapolated by its trend, about one age of the sums.
	// Without it shares swing, and a zone that becomes slow is relieved late.
	zoneLead = 500 * time.Millisecond
	// zoneDoubt is the part of the queueing in the helping zone that a gain must exceed in addition:
	// differences between two full zones are mostly fluctuations.
	zoneDoubt = 0.25
	// A request's willingness to leave rises from 0 at a gain of price and margin to 1 at
	// one margin more. A share settles where the gain is zoneSetpoint margins above the price.
	zoneSetpoint = 3
	// zoneGainFactor scales moves. At 1 the share of a zone at 1.4 of its capacity swings between 0.3 and
	// 0.6 with requests of 30 ms and between 0 and 0.65 with streams of 2 s; above 0.5
	// it does not settle with streams.
	zoneGainFactor = 0.35
	// zoneStreamUrgency is the factor of zoneLead for streams, and the most by which their moves are
	// scaled up while the gain is far above the setpoint: streams stay for seconds, so
	// that a zone is relieved late. Shares of requests of 30 ms oscillate with it.
	zoneStreamUrgency = 2
	// zoneMinMove is the least weight of a move: at a share near 1 the load that
	// is left says little about the demand.
	zoneMinMove = 0.5
	// zoneLateBand is the excess over a request's target, as a part of it, at which all such requests leave.
	zoneLateBand = 0.5
	// zoneMaxStep bounds the time that one step accounts for after a pause in the traffic.
	zoneMaxStep = 500 * time.Millisecond
	// Loads count in full up to the age zoneFresh and not at all from zoneStale on.
	// Announcements on the connect front are up to 2.7 s old in normal operation.
	zoneFresh = 3 * time.Second
	zoneStale = 6 * time.Second
	// eventBytes is the size of an event with one token of an answer, plainBytes that of a
	// plain request and its answer.
	eventBytes = 80
	plainBytes = 1400
	// bytesPerToken is the size of a prompt token for requests whose size is not stated.
	bytesPerToken = 1
	// zoneMeanWeight is the weight of one sampled request in the mean request of a share.
	zoneMeanWeight = 0.05
	// impairedFailures is the number of recent failures from which on the best local backend
	// server competes with those of other zones.
	impairedFailures = 0.5
)

// zoneLoad is the load of the ready backend servers of a zone for a version and a lane.
type zoneLoad struct {
	servers int
	slots   float64
	// load is the number of running and waiting requests, prefill the number of
	// pending prefill tokens, and busy the fraction of servers with any.
	load, prefill, busy float64
	// held follows load at once when it rises and with zoneHold when it falls.
	held float64
	// measuredAt is the mean time of the load reports.
	measuredAt time.Time
}

// zoneQuery holds what the delay of a request depends on.
type zoneQuery struct {
	uncached, answerTokens float64
	// urgency is zoneStreamUrgency for streams and 1 for others.
	urgency float64
	// price is the cost of leaving the zone, without the margin.
	price time.Duration
	// target is the time left for the first event or the whole answer, 0 if it is not known.
	target time.Duration
}

// delay returns the expected delay of a request in a zone that has added more requests
// than reported, and the part of it that is due to full slots and pending prefill.
// It applies the formula of score to the mean backend server.
func (l *zoneLoad) delay(s *Settings, q *zoneQuery, added float64) (queue, total time.Duration) {
	if l.servers == 0 {
		return math.MaxInt64 / 4, math.MaxInt64 / 4
	}
	n := float64(l.servers)
	load, slots := max(l.load+added, 0)/n, l.slots/n
	pending := l.prefill / n
	if l.load > 0 {
		pending *= max(l.load+added, 0) / l.load
	}
	// A request waits for prefill only if all candidates that it compares have some pending: three, fewer
	// than the sample, since pending prefill is known late. With one, fluctuations of a zone
	// that has half of its servers idle would exceed the margin.
	allBusy := l.busy * l.busy * l.busy
	queue = scale(s.PerWaiting, excess(load-slots, s.LoadUncertainty)) + scale(s.PerPendingPrefillToken, pending*allBusy)
	running := min(load, slots)
	prefill := scale(s.PerPrefillToken, q.uncached*(1+s.OthersDelayWeight*running))
	decode := scale(s.PerSequence, q.answerTokens*(1+s.OthersDelayWeight)*running)
	return queue, queue + prefill + decode
}

// zoneGain returns how much faster a request is in the zone to than in the zone
// from if moved requests change zones before. It is at most the queueing in
// from: nothing is gained by leaving a zone that has capacity.
func zoneGain(s *Settings, q *zoneQuery, from, to *zoneLoad, moved, needing float64) time.Duration {
	queue, here := from.delay(s, q, -moved)
	queueThere, there := to.delay(s, q, moved*needing)
	return min(here-there, queue) - scale(queueThere, zoneDoubt)
}

// zoneMove returns the fraction of the load of from that should change zones, so that a
// further request gains zoneSetpoint margins; negative if too many have. needing
// is the load of all zones that need help relative to that of from: they act
// on the same news.
func zoneMove(s *Settings, q *zoneQuery, from, to *zoneLoad, needing float64) float64 {
	set := q.price + zoneSetpoint*s.OtherZoneMinGain
	low, high := -1.0, 1.0
	for range 16 {
		mid := (low + high) / 2
		if zoneGain(s, q, from, to, mid*from.load, needing) > set {
			low = mid
		} else {
			high = mid
		}
	}
	return (low + high) / 2
}

// zoneTrust returns the weight of a load that was measured at a time, from 0 to 1.
func zoneTrust(now, measuredAt time.Time) float64 {
	age := now.Sub(measuredAt)
	return min(max(float64(zoneStale-age)/float64(zoneStale-zoneFresh), 0), 1)
}

// zoneWillingness returns the part of the share that applies to a request. It rises from 0
// at a gain of price and margin to 1 at a gain that is one margin higher.
func zoneWillingness(s *Settings, q *zoneQuery, gain time.Duration) float64 {
	over := gain - q.price - s.OtherZoneMinGain
	return min(max(float64(over)/float64(max(s.OtherZoneMinGain, 1)), 0), 1)
}

// zoneLate returns the fraction of the requests with a target that leave because they would be late in
// from and on time in to. It rises with the excess over the target, and is limited so that the
// requests find free slots if those of all zones that need help leave.
func zoneLate(s *Settings, q *zoneQuery, from, to *zoneLoad, needing float64) float64 {
	here, _ := from.delay(s, q, 0)
	there, _ := to.delay(s, q, 0)
	if q.target <= 0 || here <= q.target || there+s.OtherZone >= q.target || from.load <= 0 {
		return 0
	}
	room := max(to.slots-to.load, 0) / (needing * from.load)
	return min(float64(here-q.target)/(zoneLateBand*float64(q.target)), room, 1)
}

// zoneShare is the fraction of the requests for a version and a lane that leave the zone,
// if they are willing to.
type zoneShare struct {
	share atomic.Uint64 // bits of a float64

	mu       sync.Mutex // held during a step
	stepped  time.Time
	lastLoad float64
	mean     zoneQuery // of the sampled requests

	// Guarded by Placer.mu.
	smoothed   map[string]zoneLoad
	smoothedAt time.Time
}

func (z *zoneShare) value() float64 { return math.Float64frombits(z.share.Load()) }

// step moves the share towards the one that balances the zones, at most once in zoneStep.
// from is the load of the own zone and to that of the zones that help.
func (z *zoneShare) step(s *Settings, q *zoneQuery, from, to *zoneLoad, needing float64, now time.Time) {
	if !z.mu.TryLock() {
		return // another request makes the step
	}
	defer z.mu.Unlock()
	took := now.Sub(z.stepped)
	if took < zoneStep {
		return
	}
	if z.stepped.IsZero() {
		z.mean, z.lastLoad = *q, from.load
	}
	took = min(took, zoneMaxStep)
	z.stepped = now
	z.mean.price += scale(q.price-z.mean.price, zoneMeanWeight)
	z.mean.uncached += zoneMeanWeight * (q.uncached - z.mean.uncached)
	z.mean.answerTokens += zoneMeanWeight * (q.answerTokens - z.mean.answerTokens)
	z.mean.urgency += zoneMeanWeight * (q.urgency - z.mean.urgency)
	growth := 0.0
	if from.load > 0 && z.lastLoad > 0 {
		growth = max(1-z.lastLoad/from.load, -1) * float64(zoneLead) / float64(took)
	}
	z.lastLoad = from.load
	share := z.value()
	move := -1.0
	gain := zoneGain(s, &z.mean, from, to, 0, 1)
	if to.servers > 0 && from.load > 0 {
		need := float64(gain-z.mean.price) / float64(max(zoneSetpoint*s.OtherZoneMinGain, 1))
		move = zoneMove(s, &z.mean, from, to, needing)*zoneGainFactor*min(max(need, 1), z.mean.urgency) + growth*z.mean.urgency
	}
	// The load is what is left of the demand after a part of it was sent elsewhere.
	sent := share * zoneWillingness(s, &z.mean, gain)
	target := min(max(share+max(1-sent, zoneMinMove)*move, 0), 1)
	constant := zoneRise
	if target < share {
		constant = zoneFall
	}
	share += (target - share) * (1 - math.Exp(-float64(took)/float64(constant)))
	z.share.Store(math.Float64bits(share))
}

// smooth replaces loads by their recent means. The caller holds Placer.mu.
func (z *zoneShare) smooth(zones []zone, loads []zoneLoad, now time.Time) {
	weight := 1 - math.Exp(-float64(now.Sub(z.smoothedAt))/float64(zoneSmooth))
	hold := math.Exp(-float64(now.Sub(z.smoothedAt)) / float64(zoneHold))
	z.smoothedAt = now
	for i := range loads {
		l := &loads[i]
		l.held = l.load
		old := z.smoothed[zones[i].name]
		if old.servers > 0 && l.servers > 0 {
			perServer := float64(l.servers) / float64(old.servers)
			l.load = weight*l.load + (1-weight)*old.load*perServer
			l.prefill = weight*l.prefill + (1-weight)*old.prefill*perServer
			l.busy = weight*l.busy + (1-weight)*old.busy
			l.held = max(l.load, l.load+(old.held*perServer-l.load)*hold)
		}
		z.smoothed[zones[i].name] = *l
	}
}

// laneCount is the number of lanes.
const laneCount = int(LargeLane) + 1

// groupZones holds the loads of a group's zones and the shares that leave, by lane.
type groupZones struct {
	loads  [laneCount][]zoneLoad
	shares [laneCount]*zoneShare
}

// addZoneLoads computes the zones' loads of all groups of a pool, with the shares of the
// preceding index. The caller holds p.mu.
func (p *Placer) addZoneLoads(name string, po *pool, now time.Time) {
	if p.Settings.OtherZoneMinGain <= 0 {
		return // a fixed penalty does not depend on them
	}
	for i := range po.candidates {
		po.candidates[i].report = newServerReport(&po.candidates[i])
	}
	var before *pool
	if old := p.index.Load(); old != nil {
		before = old.pools[name]
	}
	for version, g := range po.groups {
		if before != nil && before.groups[version] != nil {
			g.byLane.shares = before.groups[version].byLane.shares
		}
		for lane := range laneCount {
			if lane > 0 && p.Settings.LaneShare <= 0 {
				g.byLane.shares[lane], g.byLane.loads[lane] = g.byLane.shares[0], g.byLane.loads[0]
				continue
			}
			if g.byLane.shares[lane] == nil {
				g.byLane.shares[lane] = &zoneShare{smoothed: make(map[string]zoneLoad)}
			}
			loads := make([]zoneLoad, len(po.zones))
			for i := range g.zones {
				loads[i] = newZoneLoad(g.zones[i].members, Lane(lane), now)
			}
			g.byLane.shares[lane].smooth(po.zones, loads, now)
			g.byLane.loads[lane] = loads
		}
	}
}

// serverReport is the newest load of a backend server with what this entry VM has
// placed there since. Unlike othersLoad it does not tend to the mean of the pool with its age.
type serverReport struct {
	load, prefill float64
	measuredAt    time.Time
}

func newServerReport(c *candidate) serverReport {
	b := c.backend
	r := serverReport{measuredAt: b.Seen.Add(-b.ReportAge)}
	before, own := c.state.loadAt(r.measuredAt), c.state.load()
	r.load = float64(max(b.Running+b.Waiting-before.Running, 0) + own.Running)
	r.prefill = float64(max(b.PendingPrefill-before.PendingPrefill, 0) + own.PendingPrefill)
	return r
}

// newZoneLoad adds up the loads of the ready backend servers that a lane uses.
func newZoneLoad(members []*candidate, lane Lane, now time.Time) zoneLoad {
	var l zoneLoad
	var age time.Duration
	busy := 0
	for _, c := range members {
		if c.backend.State != dhbackend.Ready || (lane != AnyLane && c.lane != AnyLane && c.lane != lane) {
			continue
		}
		l.servers++
		l.slots += float64(max(c.backend.Slots, 1))
		l.load += c.report.load
		l.prefill += c.report.prefill
		if c.report.prefill > 0 {
			busy++
		}
		age += now.Sub(c.report.measuredAt)
	}
	if l.servers > 0 {
		l.busy = float64(busy) / float64(l.servers)
		l.measuredAt = now.Add(-age / time.Duration(l.servers))
	}
	return l
}

// zoneChoice is the decision of one request.
type zoneChoice struct {
	query zoneQuery
	// leave is set if the request leaves the zone, open if candidates of all zones compete.
	leave, open bool
	reason      ZoneReason
	// helper is the index of the zone to which the request leaves.
	helper int
	// share is the probability that the request leaves, gain how much faster it is then.
	share float64
	gain  time.Duration
	// hasCapacity is set if the queueing expected in the zone is below the margin.
	hasCapacity bool
	// restricted is set if a candidate was not permitted.
	restricted bool
}

// decideZone decides whether the request leaves the zone.
func (c *decision) decideZone() {
	s := &c.p.Settings
	c.zone = zoneChoice{query: c.zoneQuery(), helper: -1}
	if s.OtherZoneMinGain <= 0 {
		c.zone.open, c.zone.reason = true, LeftFixed
		return
	}
	loads, z := c.group.byLane.loads[c.r.Lane], c.group.byLane.shares[c.r.Lane]
	local := -1
	for i := range loads {
		if c.pool.zones[i].local && c.zoneAllowed(i) && loads[i].servers > 0 {
			local = i
		}
	}
	if local < 0 {
		c.zone.open, c.zone.reason = true, LeftNoServer
		return
	}
	help, needing := c.helpers(loads, local)
	q := &c.zone.query
	queue, _ := loads[local].delay(s, q, 0)
	c.zone.hasCapacity = queue < s.OtherZoneMinGain
	if c.recorder == nil {
		z.step(s, q, &loads[local], &help, needing, c.now)
	}
	c.zone.share = z.value()
	if help.servers == 0 {
		return
	}
	c.zone.gain = zoneGain(s, q, &loads[local], &help, 0, 1)
	c.zone.share *= zoneWillingness(s, q, c.zone.gain)
	reason := LeftExcess
	if late := zoneLate(s, q, &loads[local], &help, needing); late > c.zone.share {
		c.zone.share, reason = late, LeftLate
	}
	c.zone.share *= zoneTrust(c.now, loads[local].measuredAt) * zoneTrust(c.now, help.measuredAt)
	if c.random.float() >= c.zone.share {
		return
	}
	c.zone.leave, c.zone.open, c.zone.reason = true, true, reason
	c.zone.helper = c.helper(loads, local)
}

// zoneQuery returns the properties of the request that the zone decision depends on.
func (c *decision) zoneQuery() zoneQuery {
	s := &c.p.Settings
	bytes := c.r.Bytes
	if bytes == 0 {
		bytes = c.r.PromptTokens * bytesPerToken
	}
	urgency := 1.0
	if c.r.PromptTokens > 0 || c.r.MaxTokens > 0 {
		urgency = zoneStreamUrgency
		bytes += c.answerTokens * eventBytes
	} else {
		bytes = max(bytes, plainBytes)
	}
	uncached := c.r.PromptTokens
	if c.r.Shared > 0 && c.r.Shared <= len(c.r.Prefix) {
		uncached = max(uncached-c.r.tokens(c.r.Shared), 0)
	}
	return zoneQuery{
		uncached: float64(uncached), answerTokens: float64(c.answerTokens), target: c.r.Target, urgency: urgency,
		price: s.OtherZone + scale(s.OtherZonePerKilobyte, float64(bytes)/1000),
	}
}

// helps reports whether a zone is expected to be faster than the local one by more than
// price and margin, or to be on time if the local one is late.
func (c *decision) helps(loads []zoneLoad, zone, local int) bool {
	return zone != local && !c.pool.zones[zone].local && loads[zone].servers > 0 && c.zoneAllowed(zone) &&
		(zoneGain(&c.p.Settings, &c.zone.query, &loads[local], &loads[zone], 0, 1) > c.zone.query.price+c.p.Settings.OtherZoneMinGain ||
			zoneLate(&c.p.Settings, &c.zone.query, &loads[local], &loads[zone], 1) > 0)
}

// helpers returns the load of all zones that help, and the load of the zones that need
// help relative to that of the local zone.
func (c *decision) helpers(loads []zoneLoad, local int) (help zoneLoad, needing float64) {
	var age time.Duration
	busy := 0.0
	for i := range loads {
		if !c.helps(loads, i, local) {
			continue
		}
		l := &loads[i]
		help.servers += l.servers
		help.slots += l.slots
		help.load += l.held
		help.prefill += l.prefill
		busy += l.busy * float64(l.servers)
		age += c.now.Sub(l.measuredAt) * time.Duration(l.servers)
	}
	if help.servers == 0 {
		return help, 1
	}
	help.busy = busy / float64(help.servers)
	help.measuredAt = c.now.Add(-age / time.Duration(help.servers))
	needing = 1
	for i := range loads {
		if i == local || loads[i].servers == 0 || loads[local].load <= 0 {
			continue
		}
		if zoneGain(&c.p.Settings, &c.zone.query, &loads[i], &help, 0, 1) > c.zone.query.price+c.p.Settings.OtherZoneMinGain {
			needing += loads[i].load / loads[local].load
		}
	}
	return help, needing
}

// helper chooses one of the zones that help, in proportion to their free slots.
func (c *decision) helper(loads []zoneLoad, local int) int {
	best, sum := -1, 0.0
	for i := range loads {
		if c.helps(loads, i, local) {
			// A full zone that is still faster counts as one free slot per server.
			free := max(loads[i].slots-loads[i].load, float64(loads[i].servers))
			sum += free
			if c.random.float()*sum < free {
				best = i
			}
		}
	}
	return best
}

// samplesZone reports whether candidates of a zone other than the local one are sampled.
func (c *decision) samplesZone(zone int) bool {
	return c.zone.open && (c.zone.helper < 0 || c.zone.helper == zone)
}

// sharesPrefixes reports whether the rendezvous candidate of a shared prefix may be in a zone. A
// candidate in each zone costs one more prefill for each zone; a common one for all zones
// makes most requests with the prefix leave their zone.
func (c *decision) sharesPrefixes(zone int) bool {
	return c.samplesZone(zone) || (!c.zone.open && c.pool.zones[zone].local)
}

// openZones lets candidates of all zones compete if the local zone has no usable
// candidate, or the best one is in a cold start, fails, or is busy unlike the zone.
func (c *decision) openZones() {
	if c.zone.open {
		return
	}
	if c.best.Backend == nil {
		for i := range c.group.zones {
			if c.pool.zones[i].local && c.zoneAllowed(i) {
				c.sample(&c.group.zones[i], len(c.group.zones[i].members))
			}
		}
	}
	switch {
	case c.best.Backend == nil:
		c.zone.open, c.zone.reason = true, LeftNoServer
	case c.best.Cold || c.best.state.failures(c.now, c.p.Settings.FailureHalfLife) >= impairedFailures:
		c.zone.open, c.zone.reason = true, LeftImpaired
	case c.zone.restricted && c.zone.hasCapacity && c.best.Wait > c.zone.query.price+zoneSetpoint*c.p.Settings.OtherZoneMinGain:
		// Few of the zone's servers are permitted; the sums do not tell sides of a rollout apart.
		c.zone.open, c.zone.reason = true, LeftBusy
	}
}

// otherZoneCost returns the cost of a candidate in another zone.
func (c *decision) otherZoneCost() time.Duration {
	if c.zone.leave {
		return c.zone.query.price
	}
	return c.zone.query.price + c.p.Settings.OtherZoneMinGain
}

// noteZone records in the placement whether and why the request leaves the zone.
func (c *decision) noteZone() {
	c.best.ZoneShare, c.best.ZoneGain, c.best.ZonePrice = c.zone.share, c.zone.gain, c.zone.query.price
	switch {
	case c.best.Backend.Zone == c.p.Zone:
		c.best.ZoneReason = StayedLocal
	case !c.zone.open:
		c.best.ZoneReason = LeftPrefix
	default:
		c.best.ZoneReason = c.zone.reason
	}
}
