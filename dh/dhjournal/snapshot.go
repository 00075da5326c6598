package dhjournal

import (
	"errors"
	"fmt"
	"io/fs"
	"iter"

	"dandelionhoist.example/dh/dhdisk"
)

// snapshotStepBytes is the minimum part of a snapshot that one commit writes.
// Writing a snapshot at once would block all waiting calls until it is synced.
const snapshotStepBytes = 256 << 10

// snapshotWriteBytes is the size of one write of a snapshot.
const snapshotWriteBytes = 1 << 20

// snapshot is the unfinished file of the next generation.
type snapshot struct {
	file       dhdisk.File
	generation uint64
	frames     uint64
	size       int
	buffer     []byte
	pull       func() ([]byte, bool)
	stop       func()
}

func (s *snapshot) add(record []byte) {
	s.buffer = appendFrame(s.buffer, s.generation, s.frames, kindSnapshot, record)
	s.frames++
}

func (s *snapshot) flush() error {
	n, err := s.file.Write(s.buffer)
	s.size += n
	s.buffer = s.buffer[:0]
	return err
}

// beginSnapshot creates the file of the next generation. Records appended from
// then on go to both files.
func (j *Journal) beginSnapshot() error {
	generation := j.generation + 1
	file, err := j.disk.Create(j.fileName(generation) + temporarySuffix)
	if err != nil {
		return j.fail(fmt.Errorf("create snapshot: %w", err))
	}
	j.next = &snapshot{file: file, generation: generation, buffer: appendHeader(nil, generation)}
	j.next.pull, j.next.stop = iter.Pull(j.state.Snapshot())
	return nil
}

// stepSnapshot writes and syncs up to about budget bytes of the snapshot, and
// makes it the journal's file when it is complete. A record appended before its
// part of the state is reached is in the snapshot twice; the second copy
// contains that part completely.
func (j *Journal) stepSnapshot(budget int) error {
	s := j.next
	for start := s.size; s.size-start+len(s.buffer) < budget; {
		record, ok := s.pull()
		if !ok {
			return j.finishSnapshot()
		}
		s.add(record)
		if len(s.buffer) >= snapshotWriteBytes {
			if err := s.flush(); err != nil {
				return j.fail(fmt.Errorf("write snapshot: %w", err))
			}
		}
	}
	if err := errors.Join(s.flush(), s.file.Sync()); err != nil {
		return j.fail(fmt.Errorf("write snapshot: %w", err))
	}
	return nil
}

func (j *Journal) finishSnapshot() error {
	s := j.next
	s.buffer = appendSnapshotEnd(s.buffer, s.generation, s.frames, j.sequence)
	s.frames++
	if err := errors.Join(s.flush(), s.file.Sync()); err != nil {
		return j.fail(fmt.Errorf("write snapshot: %w", err))
	}
	name := j.fileName(s.generation)
	if err := j.disk.Rename(name+temporarySuffix, name); err != nil {
		return j.fail(fmt.Errorf("rename snapshot: %w", err))
	}
	if err := j.disk.SyncDir(); err != nil {
		return j.fail(fmt.Errorf("sync folder: %w", err))
	}
	old := j.file
	j.file, j.generation, j.size, j.frames = s.file, s.generation, s.size, s.frames
	j.synced, j.next = j.sequence, nil
	s.stop()
	if old != nil {
		_ = old.Close() // its data is no longer needed
	}
	return j.removeOld()
}

// dropSnapshot abandons an unfinished snapshot. The next Open removes its file.
func (j *Journal) dropSnapshot() {
	if j.next != nil {
		j.next.stop()
		_ = j.next.file.Close()
		j.next = nil
	}
}

// removeOld removes the files of older generations. A crash before it leaves
// them on disk; the highest generation is the valid one.
func (j *Journal) removeOld() error {
	generations, err := j.generations()
	if err != nil {
		return j.fail(err)
	}
	for _, g := range generations {
		if g >= j.generation {
			continue
		}
		if err := j.disk.Remove(j.fileName(g)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return j.fail(fmt.Errorf("remove old file: %w", err))
		}
	}
	return nil
}
