package dhdisk_test

import (
	"errors"
	"io/fs"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionhoist.example/dh/dhdisk"
)

// Guards against a fake that behaves unlike the file system in ordinary use, and
// against two processes that use the same folder.
func TestDisksAgree(t *testing.T) {
	folder := t.TempDir()
	system, err := dhdisk.OpenOS(folder)
	assert.NilError(t, err)
	for _, disk := range []dhdisk.Disk{system, &dhdisk.Memory{}} {
		f, err := disk.Create("a.tmp")
		assert.NilError(t, err)
		_, err = f.Write([]byte("one"))
		assert.NilError(t, err)
		assert.NilError(t, f.Sync())
		assert.NilError(t, disk.Rename("a.tmp", "a"))
		_, err = f.Write([]byte(" two"))
		assert.NilError(t, err)
		assert.NilError(t, f.Close())
		assert.NilError(t, disk.SyncDir())
		data, err := disk.ReadFile("a")
		assert.NilError(t, err)
		assert.Equal(t, string(data), "one two")
		names, err := disk.List()
		assert.NilError(t, err)
		assert.DeepEqual(t, names, []string{"a"})
		assert.NilError(t, disk.Remove("a"))
		_, err = disk.ReadFile("a")
		assert.Assert(t, errors.Is(err, fs.ErrNotExist))
	}
	_, err = system.Create("../outside")
	assert.ErrorContains(t, err, "plain name")
	_, err = dhdisk.OpenOS(folder)
	assert.ErrorContains(t, err, "is in use")
	assert.NilError(t, system.Close())
	reopened, err := dhdisk.OpenOS(folder)
	assert.NilError(t, err)
	assert.NilError(t, reopened.Close())
}

// Guards against a fake that keeps data or names that were never synced.
func TestCrashLosesUnsynced(t *testing.T) {
	disk := &dhdisk.Memory{}
	f, _ := disk.Create("a")
	_, _ = f.Write([]byte("kept"))
	assert.NilError(t, f.Sync())
	assert.NilError(t, disk.SyncDir())
	_, _ = f.Write([]byte("lost"))
	_, _ = disk.Create("unsynced-name")
	disk.Crash()
	data, _ := disk.ReadFile("a")
	assert.Equal(t, string(data), "kept")
	names, _ := disk.List()
	assert.DeepEqual(t, names, []string{"a"})
	_, err := f.Write([]byte("late"))
	assert.Assert(t, err != nil)

	disk.Set(dhdisk.Faults{Capacity: 6})
	f, _ = disk.Create("b")
	n, err := f.Write([]byte("long"))
	assert.Equal(t, n, 2)
	assert.ErrorIs(t, err, syscall.ENOSPC)
}
