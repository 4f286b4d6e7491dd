// Package disk abstracts the data folder. Tests replace it by a folder that loses
// unsynced data in a simulated crash.
package disk

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	filePermission   fs.FileMode = 0o600
	folderPermission fs.FileMode = 0o700
)

// ErrNotExist reports that a file does not exist.
var ErrNotExist = fs.ErrNotExist

// File is an append-only file of a Folder.
type File interface {
	// Write appends p. The data is durable only after Sync.
	Write(p []byte) (int, error)
	// Sync makes all written data durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
	// Close closes the file without syncing it.
	Close() error
}

// Folder is a folder of files without subfolders.
type Folder interface {
	// ReadFile returns the content of a file. The error wraps ErrNotExist if the
	// file does not exist.
	ReadFile(name string) ([]byte, error)
	// Append opens a file for appending and durably creates it if absent.
	Append(name string) (File, error)
	// WriteFile atomically replaces the content of a file, creating it if absent.
	// The content is durable when WriteFile returns. A failed call leaves no other
	// file behind.
	WriteFile(name string, data []byte) error
	// Remove durably deletes a file. It returns nil if the file does not exist.
	Remove(name string) error
	// List returns the names of all files in the folder.
	List() ([]string, error)
}

// OS is a Folder on the operating system's file system.
type OS struct {
	path string
}

// Open returns the folder at path, creating it if absent.
func Open(path string) (*OS, error) {
	err := os.MkdirAll(path, folderPermission)
	if err != nil {
		return nil, errors.Newf("create data folder: %w", err)
	}
	return &OS{path: path}, nil
}

// ReadFile implements Folder.
func (o *OS) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(o.path, name))
	if err != nil {
		return nil, errors.Newf("read file: %w", err)
	}
	return data, nil
}

// Append implements Folder.
func (o *OS) Append(name string) (File, error) {
	path := filepath.Join(o.path, name)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, filePermission)
	if err != nil {
		return nil, errors.Newf("open for append: %w", err)
	}
	err = o.syncFolder()
	if err != nil {
		_ = file.Close()
		return nil, errors.Newf("sync new file's folder: %w", err)
	}
	return file, nil
}

// WriteFile implements Folder.
func (o *OS) WriteFile(name string, data []byte) error {
	path := filepath.Join(o.path, name)
	temporary := path + ".tmp"
	err := writeSynced(temporary, data)
	if err != nil {
		_ = os.Remove(temporary)
		return errors.Newf("write temporary file: %w", err)
	}
	err = os.Rename(temporary, path)
	if err != nil {
		_ = os.Remove(temporary)
		return errors.Newf("rename temporary file: %w", err)
	}
	return o.syncFolder()
}

// Remove implements Folder.
func (o *OS) Remove(name string) error {
	err := os.Remove(filepath.Join(o.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Newf("remove file: %w", err)
	}
	return o.syncFolder()
}

// List implements Folder.
func (o *OS) List() ([]string, error) {
	entries, err := os.ReadDir(o.path)
	if err != nil {
		return nil, errors.Newf("list data folder: %w", err)
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// syncFolder makes created, renamed and removed file names durable.
func (o *OS) syncFolder() error {
	folder, err := os.Open(o.path)
	if err != nil {
		return errors.Newf("open data folder: %w", err)
	}
	defer func() { _ = folder.Close() }()
	err = folder.Sync()
	if err != nil {
		return errors.Newf("sync data folder: %w", err)
	}
	return nil
}

// writeSynced creates or overwrites a file and syncs its content.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePermission)
	if err != nil {
		return errors.Newf("create file: %w", err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	closeErr := file.Close()
	if err != nil {
		return errors.Newf("write and sync: %w", err)
	}
	if closeErr != nil {
		return errors.Newf("close file: %w", closeErr)
	}
	return nil
}
