package dhjournal

import (
	"bytes"
	"context"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhdisk"
	"dandelionhoist.example/dh/dhgroup"
)

// listState holds the last record of each name, in the form "name=value".
type listState struct{ records []string }

func (l *listState) Apply(record []byte) error {
	name, _, ok := strings.Cut(string(record), "=")
	if !ok {
		return fmt.Errorf("record without =")
	}
	for i, r := range l.records {
		if strings.HasPrefix(r, name+"=") {
			l.records[i] = string(record)
			return nil
		}
	}
	l.records = append(l.records, string(record))
	return nil
}

func (l *listState) Snapshot() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for i := 0; i < len(l.records); i++ {
			if !yield([]byte(l.records[i])) {
				return
			}
		}
	}
}

func (l *listState) Size() (records, bytes int) {
	for _, r := range l.records {
		bytes += len(r)
	}
	return len(l.records), bytes
}

func (l *listState) set(j *Journal, record string) {
	_ = l.Apply([]byte(record))
	j.Append([]byte(record))
}

const goldenFile = "journal-format-1.golden"

// sampleFile returns a file with a snapshot of one record and three more records.
func sampleFile(t testing.TB) []byte {
	disk, l := &dhdisk.Memory{}, &listState{}
	j, err := Open(disk, "voter", l)
	assert.NilError(t, err)
	for i, record := range []string{"a=first", "b=second", "a=third", "c="} {
		l.set(j, record)
		assert.NilError(t, j.Commit())
		if i == 0 {
			assert.NilError(t, j.beginSnapshot())
			assert.NilError(t, j.stepSnapshot(math.MaxInt))
		}
	}
	data, err := disk.ReadFile("voter-0000000000000002")
	assert.NilError(t, err)
	return data
}

func replayAll(data []byte) (records []string, sequence uint64, err error) {
	sequence, err = replay(data, 2, func(r []byte) error {
		records = append(records, string(r))
		return nil
	})
	return records, sequence, err
}

// Guards against an unnoticed change of the on-disk format.
func TestGolden(t *testing.T) {
	golden.AssertBytes(t, sampleFile(t), goldenFile)
	data := golden.Get(t, goldenFile)
	records, sequence, err := replayAll(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, records, []string{"a=first", "b=second", "a=third", "c="})
	assert.Equal(t, sequence, uint64(4))
}

// Guards against a flipped bit that is not detected or is mistaken for a torn
// write, and against a torn write of any length that loses acknowledged records
// or prevents a voter from starting.
func TestBitFlipsAndTornWrites(t *testing.T) {
	data := sampleFile(t)
	for bit := range len(data) * 8 {
		damaged := bytes.Clone(data)
		damaged[bit/8] ^= 1 << (bit % 8)
		_, _, err := replayAll(damaged)
		assert.Assert(t, err != nil, "bit %d", bit)
	}
	all, _, _ := replayAll(data)
	last := len(data) - frameOverhead - len("c=")
	for end := last; end < len(data); end++ {
		zeros := append(bytes.Clone(data[:end]), make([]byte, len(data)-end)...)
		for _, torn := range [][]byte{data[:end], zeros} {
			records, _, err := replayAll(torn)
			assert.NilError(t, err, "end %d", end)
			assert.DeepEqual(t, records, all[:3])
		}
	}
	_, _, err := replayAll(data[:fileHeaderBytes+3])
	assert.ErrorContains(t, err, "cut short")
}

// Guards against an acknowledgement after a failed write or sync, a journal that
// continues after one, acknowledged records lost by it, and the removal of a
// damaged file.
func TestDiskFaults(t *testing.T) {
	for name, faults := range map[string]dhdisk.Faults{
		"full disk":  {Capacity: 200},
		"sync error": {FailSync: true},
	} {
		t.Run(name, func(t *testing.T) {
			disk, l := &dhdisk.Memory{}, &listState{}
			j, err := Open(disk, "voter", l)
			assert.NilError(t, err)
			l.set(j, "a=acknowledged")
			assert.NilError(t, j.Commit())
			disk.Set(faults)
			l.set(j, "b="+strings.Repeat("x", 200))
			assert.Equal(t, dhcode.Of(j.Commit()), dhcode.DiskFailed)
			disk.Set(dhdisk.Faults{})
			l.set(j, "c=later")
			assert.Equal(t, dhcode.Of(j.Commit()), dhcode.DiskFailed)
			assert.Equal(t, j.Sequence(), uint64(1))

			disk.Crash()
			l = &listState{}
			j, err = Open(disk, "voter", l)
			assert.NilError(t, err)
			assert.DeepEqual(t, l.records, []string{"a=acknowledged"})
			assert.Equal(t, j.Sequence(), uint64(1))

			names, _ := disk.List()
			assert.NilError(t, disk.FlipBit(names[0], 8*(fileHeaderBytes+frameHeaderBytes)))
			before, _ := disk.ReadFile(names[0])
			_, err = Open(disk, "voter", &listState{})
			assert.Equal(t, dhcode.Of(err), dhcode.DiskCorrupt)
			after, _ := disk.ReadFile(names[0])
			assert.DeepEqual(t, after, before)
		})
	}
}

// Guards against a log that grows without bound, and against records that are
// lost by a crash at any sync, in particular in the middle of a snapshot.
func TestCompaction(t *testing.T) {
	disk, l := &dhdisk.Memory{}, &listState{}
	j, err := Open(disk, "voter", l)
	assert.NilError(t, err)
	value := strings.Repeat("v", 10_000) // a snapshot takes several steps
	syncs, crashed := 0, 0
	disk.BeforeSync = func() {
		if syncs++; syncs%23 == 0 {
			disk.Crash()
			crashed++
		}
	}
	for i := range 1500 {
		name := fmt.Sprintf("k%d", i%100)
		l.set(j, fmt.Sprintf("%s=%d%s", name, i, value))
		err := j.Commit()
		if _, live := l.Size(); i > 200 {
			assert.Assert(t, j.SizeBytes() < 4*live, "size %d, live %d", j.SizeBytes(), live)
		}
		if err == nil {
			continue
		}
		want := slices.DeleteFunc(l.records, func(r string) bool { return strings.HasPrefix(r, name+"=") })
		sequence := j.Sequence()
		for err != nil {
			l = &listState{}
			j, err = Open(disk, "voter", l)
		}
		assert.Assert(t, j.Sequence() >= sequence)
		for _, record := range want {
			assert.Assert(t, slices.Contains(l.records, record), "record %.9s is lost", record)
		}
	}
	assert.Assert(t, crashed > 50, "%d crashes", crashed)
}

// Guards against a separate sync for each call.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk, l := &dhdisk.Memory{}, &listState{}
		j, err := Open(disk, "voter", l)
		assert.NilError(t, err)
		release := make(chan struct{})
		disk.BeforeSync = func() { <-release }
		before := disk.Syncs()
		owner, calls := dhgroup.New(t.Context()), dhgroup.New(t.Context())
		group := NewGroup(j)
		owner.Go(group.Run)
		for i := range 100 {
			calls.Go(func(ctx context.Context) error {
				return group.Do(ctx, func(j *Journal) { l.set(j, fmt.Sprintf("k%d=", i)) })
			})
		}
		synctest.Wait()
		close(release)
		assert.NilError(t, calls.Wait())
		assert.Assert(t, disk.Syncs()-before <= 2, "%d syncs", disk.Syncs()-before)
		owner.Stop()
		assert.NilError(t, owner.Wait())
		assert.Assert(t, group.Do(t.Context(), func(*Journal) {}) != nil)
	})
}

// Guards against a damaged file that crashes the parser or yields records that
// do not match their checksums.
func FuzzReplay(f *testing.F) {
	data := sampleFile(f)
	f.Add(data)
	f.Add(data[:len(data)-5])
	f.Add(data[:fileHeaderBytes])
	f.Fuzz(func(t *testing.T, data []byte) {
		records, sequence, err := replayAll(data)
		if err != nil {
			return
		}
		shorter, lower, err := replayAll(data[:len(data)-1])
		assert.Assert(t, err != nil || lower <= sequence && len(shorter) <= len(records))
		if err == nil && len(shorter) > 0 {
			assert.DeepEqual(t, shorter, records[:len(shorter)])
		}
	})
}
