package dhsoak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

//go:generate ../../../bin/stringer -type=faultKind,conduct -linecomment -output=enum_string.go

// faultKind is the kind of a fault.
type faultKind int

const (
	killEntry      faultKind = iota // kill-entry
	killControl                     // kill-control
	killControls                    // kill-all
	killAfterReply                  // kill-after-acknowledgement
	stopEntry                       // stop-entry
	stopControl                     // stop-control
	pauseEntry                      // pause-entry
	pauseControl                    // pause-control
	wipeDisk                        // wipe-disk
	limitDisk                       // limit-disk
	reloadAll                       // reload
	cutControl                      // cut-control
	cutControlIn                    // cut-control-inbound
	cutControlOut                   // cut-control-outbound
	cutEntry                        // cut-entry
	splitControls                   // split-controls
	delayLinks                      // delay-links
	resetLinks                      // reset-links
	silenceLinks                    // silence-links
	crashBackend                    // crash-backend
	reuseAddress                    // reuse-address
	coldBackend                     // cold-backend
	drainBackend                    // drain-backend
	misbehave                       // misbehaving-backend
	cutBackend                      // cut-backend
	faultKindCount                  // fault-kinds
	// limitRequests is drawn after all others, so that seeds from before it keep
	// their faults.
	limitRequests // limit-requests
	// crashingPart is drawn after all others as well.
	crashingPart // crashing-part
	// deadlyRequest and cutFromBackends are drawn after these.
	deadlyRequest   // deadly-request
	cutFromBackends // cut-from-backends
	// lingerBackend is drawn after these.
	lingerBackend // linger-backend
	// exchangeVM is drawn from its own numbers, if there is an old program.
	exchangeVM // exchange-vm
)

// conduct is how a backend server responds to requests.
type conduct int

const (
	healthy      conduct = iota // sound
	failing                     // failing
	hanging                     // hanging
	breakingOff                 // breaking-off
	resetting                   // resetting
	addingBytes                 // adding-bytes
	refusing                    // refusing
	slow                        // slow
	flaky                       // flaky
	conductCount                // conduct-kinds
	// copying is drawn after all others.
	copying // copying-answers
)

// fault is one injected fault. It affects the VM or backend server whose index is
// target modulo their number.
type fault struct {
	start, duration time.Duration
	kind            faultKind
	conduct         conduct
	target          int
}

func (f fault) String() string {
	text := fmt.Sprintf("%.2fs %v %d for %.2fs", f.start.Seconds(), f.kind, f.target, f.duration.Seconds())
	if f.kind == misbehave {
		text += " " + f.conduct.String()
	}
	return text
}

const (
	// faultPeriod is the mean time between the starts of two series of faults.
	faultPeriod = 500 * time.Millisecond
	// maxSeries is the largest number of faults in a series; they are of one kind.
	maxSeries = 3
	// minFault and maxFault bound how long a fault lasts.
	minFault = 100 * time.Millisecond
	maxFault = 4 * time.Second
	// maxGap is the longest time between two faults of a series.
	maxGap = 1500 * time.Millisecond
)

// generateFaults returns the random faults of a storm. At most one disk is lost in
// a run, since the deployment tolerates only one at a time and a voter cannot
// catch up while the other voters are down.
func generateFaults(random *rand.Rand, size Size, storm time.Duration) []fault {
	var list []fault
	wiped := false
	// Larger deployments get more concurrent faults.
	series := int(storm/faultPeriod) * max(1, (size.Controls+size.Entries)/8)
	for range series {
		f := fault{
			start: time.Duration(random.Int64N(int64(storm * 9 / 10))),
			kind:  faultKind(random.IntN(int(faultKindCount))), conduct: 1 + conduct(random.IntN(int(conductCount)-1)), target: random.IntN(1 << 16),
		}
		repeats := 1 + random.IntN(maxSeries)
		if f.kind == wipeDisk {
			if wiped {
				continue
			}
			wiped, repeats = true, 1
		}
		for range repeats {
			f.duration = minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
			if f.start+f.duration > storm {
				break
			}
			list = append(list, f)
			f.start += time.Duration(random.Int64N(int64(maxGap)))
			if random.IntN(2) == 0 {
				f.target++
			}
		}
	}
	for range random.IntN(maxLimits + 1) {
		f := fault{start: time.Duration(random.Int64N(int64(storm))), kind: limitRequests, target: random.IntN(1 << 16)}
		f.duration = time.Duration(random.Int64N(int64(storm - f.start)))
		list = append(list, f)
	}
	if random.IntN(2) == 0 {
		f := fault{start: time.Duration(random.Int64N(int64(storm / 2))), kind: crashingPart, target: random.IntN(1 << 16)}
		f.duration = storm - f.start
		list = append(list, f)
	}
	if random.IntN(2) == 0 {
		f := fault{start: time.Duration(random.Int64N(int64(storm / 2))), kind: deadlyRequest, target: random.IntN(1 << 16)}
		f.duration = storm - f.start
		list = append(list, f)
	}
	for range random.IntN(maxCuts + 1) {
		f := fault{start: time.Duration(random.Int64N(int64(storm))), kind: cutFromBackends, target: random.IntN(1 << 16)}
		f.duration = time.Duration(random.Int64N(int64(storm - f.start)))
		list = append(list, f)
	}
	for range random.IntN(maxLingering + 1) {
		list = append(list, fault{start: time.Duration(random.Int64N(int64(storm))), kind: lingerBackend, target: random.IntN(1 << 16)})
	}
	// All backend servers of a pool write copies together, so that callers are refused and
	// come back. It lasts twice the duration, before and after a restart in place.
	for first := range poolStride {
		f := fault{start: time.Duration(random.Int64N(int64(storm / 2))), kind: misbehave, conduct: copying}
		f.duration = storm/8 + time.Duration(random.Int64N(int64(storm/8)))
		for f.target = first; f.target < size.Backends; f.target += poolStride {
			list = append(list, f)
		}
	}
	return list
}

// generateExchanges returns faults that exchange the programs of the VMs one after the
// other in a random order, some of them three times.
func generateExchanges(random *rand.Rand, size Size, storm time.Duration) []fault {
	var list []fault
	vms := random.Perm(size.Controls + size.Entries)
	for i, target := range vms {
		start := storm * time.Duration(i) / time.Duration(len(vms))
		list = append(list, fault{start: start, kind: exchangeVM, target: target})
		if random.IntN(maxBackAndForth) == 0 {
			for range 2 {
				start += time.Duration(random.Int64N(int64(storm)/2 + 1))
				list = append(list, fault{start: min(start, storm), kind: exchangeVM, target: target})
			}
		}
	}
	return list
}

const (
	// maxCuts is the largest number of entry VMs that are cut off from backend servers in a
	// storm.
	maxCuts = 3
	// maxLingering is the largest number of backend servers that leave in a storm and go on
	// serving.
	maxLingering = 2
	// One in maxBackAndForth VMs goes back to the old program for a while.
	maxBackAndForth = 4
	// maxLimits is the largest number of request limits in a storm.
	maxLimits = 6
	// limitAfterFault is how long a limit lasts after its fault, and after the storm.
	limitAfterFault = 8 * time.Second
)

// requestLimits are the limits that a backend server may state, in requests per
// second.
var requestLimits = []float64{0, 0.2, 1, 2.5, 6, 20}
