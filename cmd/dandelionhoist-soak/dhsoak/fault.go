package dhsoak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

//go:generate ../../../bin/stringer -type=faultKind,conduct -linecomment -output=enum_string.go

// faultKind is what a fault does.
type faultKind int

const (
	killEntry      faultKind = iota // kill-entry
	killControl                     // kill-control
	killAll                         // kill-all
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
	faultKinds                      // fault-kinds
)

// conduct is how a backend server treats requests.
type conduct int

const (
	sound        conduct = iota // sound
	failing                     // failing
	hanging                     // hanging
	breakingOff                 // breaking-off
	resetting                   // resetting
	addingBytes                 // adding-bytes
	refusing                    // refusing
	slow                        // slow
	flaky                       // flaky
	conductKinds                // conduct-kinds
)

// fault is one disruption. Which VM or backend server it meets is target modulo
// their number.
type fault struct {
	at, lasts time.Duration
	kind      faultKind
	conduct   conduct
	target    int
}

func (f fault) String() string {
	text := fmt.Sprintf("%.2fs %v %d for %.2fs", f.at.Seconds(), f.kind, f.target, f.lasts.Seconds())
	if f.kind == misbehave {
		text += " " + f.conduct.String()
	}
	return text
}

const (
	// faultPeriod is the mean time between the starts of two series of faults.
	faultPeriod = 500 * time.Millisecond
	// maxSeries faults of one kind follow each other within a series.
	maxSeries = 3
	// minFault and maxFault bound how long a fault lasts.
	minFault = 100 * time.Millisecond
	maxFault = 4 * time.Second
	// maxGap is the longest time between two faults of a series.
	maxGap = 1500 * time.Millisecond
)

// drawFaults returns the series of faults of a storm. At most one disk is lost in
// a run, since the deployment tolerates one at a time and a voter whose core is
// down cannot catch up.
func drawFaults(random *rand.Rand, size Size, storm time.Duration) []fault {
	var list []fault
	wiped := false
	// Larger deployments get more faults at a time.
	series := int(storm/faultPeriod) * max(1, (size.Controls+size.Entries)/8)
	for range series {
		f := fault{
			at:   time.Duration(random.Int64N(int64(storm * 9 / 10))),
			kind: faultKind(random.IntN(int(faultKinds))), conduct: 1 + conduct(random.IntN(int(conductKinds)-1)), target: random.IntN(1 << 16),
		}
		repeats := 1 + random.IntN(maxSeries)
		if f.kind == wipeDisk {
			if wiped {
				continue
			}
			wiped, repeats = true, 1
		}
		for range repeats {
			f.lasts = minFault + time.Duration(random.Int64N(int64(maxFault-minFault)))
			if f.at+f.lasts > storm {
				break
			}
			list = append(list, f)
			f.at += time.Duration(random.Int64N(int64(maxGap)))
			if random.IntN(2) == 0 {
				f.target++
			}
		}
	}
	return list
}
