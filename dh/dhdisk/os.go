package dhdisk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// OS is a Disk backed by a folder of the file system.
type OS struct {
	folder string
	dir    *os.File
}

// OpenOS returns the disk of a folder, which it creates if missing. The folder
// is locked until Close or the end of the process: two processes that write the
// same journal would overwrite each other's records.
func OpenOS(folder string) (*OS, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	if err := syncFolder(filepath.Dir(folder)); err != nil {
		return nil, fmt.Errorf("sync parent of data folder: %w", err)
	}
	dir, err := os.Open(folder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	if err := syscall.Flock(int(dir.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("data folder %s is in use: %w", folder, err), dir.Close())
	}
	return &OS{folder: folder, dir: dir}, nil
}

// Close unlocks the folder. Open files stay open.
func (o *OS) Close() error { return o.dir.Close() }

func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (o *OS) path(name string) (string, error) {
	if name == "" || name == "." || name == ".." || filepath.Base(name) != name {
		return "", fmt.Errorf("file name %q is not a plain name", name)
	}
	return filepath.Join(o.folder, name), nil
}

// Create implements Disk.
func (o *OS) Create(name string) (File, error) {
	path, err := o.path(name)
	if err != nil {
		return nil, err
	}
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile implements Disk.
func (o *OS) ReadFile(name string) ([]byte, error) {
	path, err := o.path(name)
	if err != nil {
		return nil, err
	}
	return os.ReadFile(path)
}

// Rename implements Disk.
func (o *OS) Rename(oldName, newName string) error {
	from, err := o.path(oldName)
	if err != nil {
		return err
	}
	to, err := o.path(newName)
	if err != nil {
		return err
	}
	return os.Rename(from, to)
}

// Remove implements Disk.
func (o *OS) Remove(name string) error {
	path, err := o.path(name)
	if err != nil {
		return err
	}
	return os.Remove(path)
}

// List implements Disk. It omits subfolders.
func (o *OS) List() ([]string, error) {
	entries, err := os.ReadDir(o.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir implements Disk.
func (o *OS) SyncDir() error { return o.dir.Sync() }
