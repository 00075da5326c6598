// Package dhjournal makes a state durable with an append-only log of records.
//
// Each record has a checksum. Compaction replaces the log by a snapshot of the
// state in a new file, which limits the log to four times the size of the live
// state and so bounds the restart time. One file holds the snapshot and the
// records after it.
//
// # Usage
//
//	journal, err := dhjournal.Open(disk, "voter", state)
//	group := dhjournal.NewGroup(journal)
//	goroutines.Go(group.Run)
//	err = group.Do(ctx, func(j *dhjournal.Journal) {
//		state.Set(key, value)
//		j.Append(record)
//	})
//
// Do returns when the record is synced. All waiting calls share one sync.
// A failed write or sync stops the journal permanently: the content of the disk
// is then unknown until a restart reads it again. A damaged file causes an
// error with code disk-corrupt and is not removed.
package dhjournal

import (
	"errors"
	"fmt"
	"iter"
	"math"
	"strings"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdisk"
)

// State is the state that a journal makes durable. All methods are called on
// the goroutine that calls the journal.
type State interface {
	// Apply replays one record. It must not keep the slice.
	Apply(record []byte) error
	// Snapshot yields records that rebuild the whole state. The state changes
	// during the iteration: a snapshot is written in parts between commits,
	// mixed with the records appended in the meantime. Therefore each record
	// must contain its part of the state completely, and the sequence must
	// tolerate changes as a range over a map does.
	Snapshot() iter.Seq[[]byte]
	// Size returns the number and the total bytes of the records of a snapshot.
	Size() (records, bytes int)
}

// MaxRecordBytes is the size limit of a record. Tables are at most 1 MiB.
const MaxRecordBytes = 4 << 20

// compactSlackBytes prevents the compaction of a small state at every commit.
const compactSlackBytes = 4 << 10

// Journal is an open log. It is not safe for concurrent use; see Group.
type Journal struct {
	disk       dhdisk.Disk
	name       string
	state      State
	file       dhdisk.File
	generation uint64
	frames     uint64
	sequence   uint64
	synced     uint64
	size       int
	pending    []byte
	next       *snapshot
	err        error
}

// Open replays the journal with the given name into state and continues it in a
// new file, or creates an empty journal. Errors carry disk-failed or
// disk-corrupt.
//
// Open always rewrites the state: after a failed sync the kernel may return
// data that never reached the disk, and only data written again is certain to
// be synced. This also removes a torn record at the end.
func Open(disk dhdisk.Disk, name string, state State) (*Journal, error) {
	j := &Journal{disk: disk, name: name, state: state}
	generations, err := j.generations()
	if err != nil {
		return nil, err
	}
	if n := len(generations); n > 0 {
		j.generation = generations[n-1]
		data, err := disk.ReadFile(j.fileName(j.generation))
		if err != nil {
			return nil, dhcode.Wrap(dhcode.DiskFailed, fmt.Errorf("read journal: %w", err))
		}
		j.sequence, err = replay(data, j.generation, state.Apply)
		if err != nil {
			return nil, dhcode.Wrap(dhcode.DiskCorrupt, fmt.Errorf("journal %s: %w", j.fileName(j.generation), err))
		}
	}
	if err := j.beginSnapshot(); err != nil {
		return nil, err
	}
	if err := j.stepSnapshot(math.MaxInt); err != nil {
		return nil, err
	}
	return j, nil
}

func (j *Journal) fileName(generation uint64) string {
	return fmt.Sprintf("%s-%016x", j.name, generation)
}

const temporarySuffix = ".tmp"

// generations returns the generations on disk in ascending order and removes
// unfinished snapshots.
func (j *Journal) generations() ([]uint64, error) {
	names, err := j.disk.List()
	if err != nil {
		return nil, dhcode.Wrap(dhcode.DiskFailed, fmt.Errorf("list journal files: %w", err))
	}
	var generations []uint64
	for _, name := range names {
		rest, ok := strings.CutPrefix(name, j.name+"-")
		if !ok {
			continue
		}
		if strings.HasSuffix(rest, temporarySuffix) {
			if err := j.disk.Remove(name); err != nil {
				return nil, dhcode.Wrap(dhcode.DiskFailed, fmt.Errorf("remove unfinished snapshot: %w", err))
			}
			continue
		}
		var generation uint64
		if n, err := fmt.Sscanf(rest, "%016x", &generation); n == 1 && err == nil && len(rest) == 16 {
			generations = append(generations, generation)
		}
	}
	return generations, nil
}

// Append adds a record to the next commit.
func (j *Journal) Append(record []byte) {
	if len(record) > MaxRecordBytes {
		j.fail(fmt.Errorf("record of %d bytes is larger than %d", len(record), MaxRecordBytes))
		return
	}
	j.pending = appendFrame(j.pending, j.generation, j.frames, kindRecord, record)
	j.frames++
	j.sequence++
	if j.next != nil {
		j.next.add(record)
	}
}

// Commit writes and syncs all appended records. An error is final and carries disk-failed.
func (j *Journal) Commit() error {
	if j.err != nil || len(j.pending) == 0 {
		return j.err
	}
	if _, err := j.file.Write(j.pending); err != nil {
		return j.fail(fmt.Errorf("write: %w", err))
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(fmt.Errorf("sync: %w", err))
	}
	written := len(j.pending)
	j.size += written
	j.pending = j.pending[:0]
	if cap(j.pending) > 2*MaxRecordBytes {
		j.pending = nil
	}
	j.synced = j.sequence
	// The log stays within four times the live state: it is at most twice that
	// when compaction starts, grows by a quarter until compaction ends, and the
	// new copy also grows by that quarter.
	if records, bytes := j.state.Size(); j.next == nil && j.size > 2*(bytes+records*frameOverhead)+compactSlackBytes {
		if err := j.beginSnapshot(); err != nil {
			return err
		}
	}
	if j.next != nil {
		return j.stepSnapshot(max(snapshotStepBytes, 4*written))
	}
	return nil
}

// Sequence returns the number of records ever synced. It never decreases; a
// disk that was restored from an older copy shows a lower number.
func (j *Journal) Sequence() uint64 { return j.synced }

// Appended returns the value that Sequence will have after the next commit.
func (j *Journal) Appended() uint64 { return j.sequence }

// SizeBytes returns the size of the journal's files, including an unfinished
// snapshot.
func (j *Journal) SizeBytes() int {
	if j.next != nil {
		return j.size + j.next.size
	}
	return j.size
}

func (j *Journal) fail(err error) error {
	if j.err == nil {
		j.err = dhcode.Wrap(dhcode.DiskFailed, fmt.Errorf("journal %s stopped: %w", j.fileName(j.generation), err))
	}
	j.dropSnapshot()
	return j.err
}

// Close closes the journal without committing pending records.
func (j *Journal) Close() error {
	if j.err == nil {
		j.err = errors.New("journal is closed")
	}
	j.dropSnapshot()
	return j.file.Close()
}
