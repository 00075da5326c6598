package dhdisk

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"
)

// Memory is an in-memory Disk for tests. The zero value is an empty disk without
// faults. Fields are set before use or through Set.
type Memory struct {
	// BeforeSync runs before each File.Sync without a lock held, for example
	// to advance a stepped clock.
	BeforeSync func()

	mu      sync.Mutex
	faults  Faults
	names   map[string]*memoryFile
	durable map[string]*memoryFile
	crashes int
	syncs   int
}

// Faults are the faults that a Memory injects.
type Faults struct {
	// Capacity is the size limit in bytes, 0 for none. A write beyond it writes
	// only the part that fits and fails.
	Capacity int
	// FailSync makes each sync fail; the unsynced data is lost in the next crash.
	FailSync bool
	// SkipSync makes each sync report success without making anything durable.
	SkipSync bool
	// Torn returns how many of the unsynced bytes at the end of a file
	// survive a crash; nil for none.
	Torn func(unsynced int) int
	// TornZeros keeps the length of a torn file and fills the lost bytes with zeros.
	TornZeros bool
}

type memoryFile struct {
	data   []byte
	synced int
}

type memoryHandle struct {
	disk    *Memory
	file    *memoryFile
	crashes int
}

var errCrashed = errors.New("file was opened before a crash")

// Set replaces the injected faults.
func (m *Memory) Set(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Syncs returns the number of file syncs so far.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Crash discards all unsynced data and names. Files opened before it fail from then on.
func (m *Memory) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
	m.names = maps.Clone(m.durable)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		m.names[name].dropUnsynced(m.faults)
	}
}

func (f *memoryFile) dropUnsynced(faults Faults) {
	length, kept := len(f.data), f.synced
	if faults.Torn != nil && length > kept {
		kept += min(max(faults.Torn(length-kept), 0), length-kept)
	}
	f.data = bytes.Clone(f.data[:kept])
	if faults.TornZeros {
		f.data = append(f.data, make([]byte, length-kept)...)
	}
	f.synced = len(f.data)
}

// Image returns a copy of the durable content for use with Restore.
func (m *Memory) Image() map[string][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	image := make(map[string][]byte)
	for name, f := range m.durable {
		image[name] = bytes.Clone(f.data[:f.synced])
	}
	return image
}

// Restore replaces the content by an image, which simulates a rolled-back disk,
// or clears it if the image is nil, which simulates a wiped one. Files opened
// before it fail.
func (m *Memory) Restore(image map[string][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
	m.names, m.durable = make(map[string]*memoryFile), make(map[string]*memoryFile)
	for name, data := range image {
		f := &memoryFile{data: bytes.Clone(data), synced: len(data)}
		m.names[name], m.durable[name] = f, f
	}
}

// FlipBit inverts one bit of a file.
func (m *Memory) FlipBit(name string, bit int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[name]
	if f == nil || bit < 0 || bit/8 >= len(f.data) {
		return fmt.Errorf("file %q has no bit %d", name, bit)
	}
	f.data[bit/8] ^= 1 << (bit % 8)
	return nil
}

// Create implements Disk.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names == nil {
		m.names, m.durable = make(map[string]*memoryFile), make(map[string]*memoryFile)
	}
	f := &memoryFile{}
	m.names[name] = f
	return &memoryHandle{disk: m, file: f, crashes: m.crashes}, nil
}

// ReadFile implements Disk.
func (m *Memory) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[name]
	if f == nil {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	return bytes.Clone(f.data), nil
}

// Rename implements Disk.
func (m *Memory) Rename(oldName, newName string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[oldName]
	if f == nil {
		return &fs.PathError{Op: "rename", Path: oldName, Err: fs.ErrNotExist}
	}
	delete(m.names, oldName)
	m.names[newName] = f
	return nil
}

// Remove implements Disk.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(m.names, name)
	return nil
}

// List implements Disk.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names)), nil
}

// SyncDir implements Disk.
func (m *Memory) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.FailSync {
		return syscall.EIO
	}
	if !m.faults.SkipSync {
		m.durable = maps.Clone(m.names)
	}
	return nil
}

func (m *Memory) used() int {
	total := 0
	for _, f := range m.names {
		total += len(f.data)
	}
	return total
}

func (h *memoryHandle) Write(p []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.crashes != h.disk.crashes {
		return 0, errCrashed
	}
	n := len(p)
	if c := h.disk.faults.Capacity; c > 0 {
		n = min(n, max(c-h.disk.used(), 0))
	}
	h.file.data = append(h.file.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h *memoryHandle) Sync() error {
	if f := h.disk.BeforeSync; f != nil {
		f()
	}
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.crashes != h.disk.crashes {
		return errCrashed
	}
	h.disk.syncs++
	if h.disk.faults.FailSync {
		return syscall.EIO
	}
	if !h.disk.faults.SkipSync {
		h.file.synced = len(h.file.data)
	}
	return nil
}

func (h *memoryHandle) Close() error { return nil }
