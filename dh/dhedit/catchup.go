package dhedit

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// maxCompactions limits how many registers one call of Compact rewrites.
const maxCompactions = 64

// CatchUp applies the newest decided revision and returns its number, or 0
// when none is decided. Intermediate revisions are skipped: the number of
// registers read grows with the logarithm of the number of missed revisions, so
// that a restart after thousands of edits stays short.
func CatchUp(ctx context.Context, registers Register, revisions *Revisions) (uint64, error) {
	newest := revisions.NewestNumber()
	low, value, err := searchNewest(ctx, registers, newest)
	if err != nil || low == newest {
		return newest, err
	}
	r, err := parseRevision(value.GetHeader(), value.GetTables())
	if err != nil {
		return newest, err
	}
	revisions.Apply(r)
	return low, nil
}

// searchNewest returns the newest decided revision, starting at a known one.
// Decided revisions have no gaps, so an exponential search followed by a binary
// search finds it.
func searchNewest(ctx context.Context, registers Register, known uint64) (uint64, *dhpb.RevisionValue, error) {
	low, step, growing := known, uint64(1), true
	var found *dhpb.RevisionValue
	for step > 0 {
		v, err := readRevision(ctx, registers, low+step)
		if err != nil {
			return 0, nil, err
		}
		switch {
		case v != nil:
			low, found = low+step, v
			if growing {
				step *= 2
			} else if step > 1 {
				step /= 2
			}
		case growing && step > 1:
			growing = false
			step /= 2
		default:
			step /= 2
		}
	}
	return low, found, nil
}

// Backfill reads the headers of up to limit revisions below the newest one, so
// that History has no gaps.
func Backfill(ctx context.Context, registers Register, revisions *Revisions, limit int) error {
	known := make(map[uint64]bool)
	for _, h := range revisions.History(maxHeaders) {
		known[h.Revision] = true
	}
	for n := revisions.NewestNumber(); n > 1 && limit > 0; n, limit = n-1, limit-1 {
		if known[n-1] {
			continue
		}
		v, err := readRevision(ctx, registers, n-1)
		if err != nil {
			return err
		}
		if v == nil {
			return dhcode.Errorf(dhcode.Internal, "revision %d is missing below a decided one", n-1)
		}
		revisions.insert(v)
	}
	return nil
}

func readRevision(ctx context.Context, registers Register, number uint64) (*dhpb.RevisionValue, error) {
	value, err := registers.Read(ctx, revisionKey(number))
	if err != nil || value == nil {
		return nil, err
	}
	return decodeRevision(number, value)
}

// compaction holds the progress of Compact: every revision up to compacted is
// compacted.
type compaction struct {
	mu        sync.Mutex
	compacted uint64
}

// Compact removes the tables from the registers of revisions older than the
// last KeepTables ones. Headers are kept, since they answer resent edits. Each
// call rewrites a bounded number of registers; it is called on a tick.
func (e *Editor) Compact(ctx context.Context) error {
	e.compaction.mu.Lock()
	defer e.compaction.mu.Unlock()
	newest := e.Revisions.NewestNumber()
	if newest <= KeepTables {
		return nil
	}
	end := newest - KeepTables
	if e.compacted == 0 {
		if err := e.findCompacted(ctx, end); err != nil {
			return err
		}
	}
	for i := 0; i < maxCompactions && e.compacted < end; i++ {
		if err := e.removeTables(ctx, e.compacted+1); err != nil {
			return err
		}
		e.compacted++
	}
	return nil
}

// findCompacted finds the last compacted revision up to end by binary search.
// Every editor compacts in order, so the compacted revisions are the lowest ones.
func (e *Editor) findCompacted(ctx context.Context, end uint64) error {
	low, high := uint64(0), end+1
	for low+1 < high {
		middle := low + (high-low)/2
		v, err := readRevision(ctx, e.Registers, middle)
		if err != nil {
			return err
		}
		if v != nil && len(v.GetTables()) == 0 {
			low = middle
		} else {
			high = middle
		}
	}
	e.compacted = low
	return nil
}

func (e *Editor) removeTables(ctx context.Context, number uint64) error {
	_, err := e.Registers.Update(ctx, revisionKey(number), func(old []byte) ([]byte, error) {
		v, err := decodeRevision(number, old)
		if err != nil {
			return nil, err
		}
		v.Tables = nil
		return proto.Marshal(v)
	})
	return err
}
