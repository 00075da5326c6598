// Package dhdisk provides access to the data folder of a process.
//
// Names are plain file names without separators. Data is durable only after
// File.Sync, and a created, renamed or removed name only after Disk.SyncDir.
//
// # Usage
//
//	disk, err := dhdisk.OpenOS("/var/lib/dandelionhoist")
//	file, err := disk.Create("journal-1")
//	_, err = file.Write(data)
//	err = file.Sync()
//	err = disk.SyncDir()
//
// Tests use Memory, which loses unsynced data on Crash and injects faults.
package dhdisk

import "io"

// Disk is a folder of files without subfolders.
type Disk interface {
	// Create creates or truncates a file and opens it for appending.
	Create(name string) (File, error)
	// ReadFile returns the whole content of a file. The error for a missing
	// file matches fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Rename atomically renames oldName to newName and replaces an existing file of that name.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files in ascending order.
	List() ([]string, error)
	// SyncDir makes all created, renamed and removed names durable.
	SyncDir() error
}

// File is open for appending.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable.
	Sync() error
}
