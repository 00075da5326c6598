// Package dhdisk is the interface to the one data folder of a process.
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

// Disk is a folder of files.
type Disk interface {
	// Create makes an empty file, replacing one of that name, and opens it for appending.
	Create(name string) (File, error)
	// ReadFile returns the whole content of a file. A missing file gives an
	// error that matches fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Rename replaces newName by oldName in one step.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files in ascending order.
	List() ([]string, error)
	// SyncDir makes all names durable.
	SyncDir() error
}

// File is open for appending.
type File interface {
	io.WriteCloser
	// Sync makes all written data durable.
	Sync() error
}
