package fake

import (
	"bytes"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
)

// ErrDisk is returned by operations on a failing Disk, and by operations through
// a Mount or an open file that a crash or an erasure has invalidated.
var ErrDisk = errors.New("input/output error")

// ErrFull is returned by writes for which a full Disk has too little room.
var ErrFull = errors.New("no space left on device")

// Disk is an in-memory data folder that loses unsynced data in a crash. Its zero
// value is ready to use.
type Disk struct {
	mu    sync.Mutex
	files map[string]*diskFile
	// generation counts crashes and erasures. Mounts and open files of an
	// earlier generation return ErrDisk.
	generation int
	failing    bool
	// full limits the size of all files to limit bytes.
	full  bool
	limit int
	// failNextSync makes the next sync of a file fail.
	failNextSync bool
}

type diskFile struct {
	content []byte
	// synced is the number of leading bytes that survive a crash.
	synced int
	// lost is set after a failed sync: the system no longer writes the bytes after
	// synced, and later syncs don't say so.
	lost bool
}

// openFile is an open file of a Disk. It implements disk.File.
type openFile struct {
	disk       *Disk
	name       string
	generation int
}

// Crash drops the unsynced data of every file except its first keepUnsynced
// bytes, and invalidates all mounts and open files.
func (d *Disk) Crash(keepUnsynced int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, file := range d.files {
		kept := min(len(file.content), file.synced+keepUnsynced)
		file.content = file.content[:kept]
		file.synced = kept
		file.lost = false
	}
}

// Kill invalidates all mounts and open files, as the end of a process does. Unsynced
// data stays readable, and a later crash loses it.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
}

// Erase drops all files, as if the disk were replaced, and invalidates all
// mounts and open files.
func (d *Disk) Erase() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.files = nil
}

// SetFailing sets whether opening, writing, syncing and truncating files fails
// with ErrDisk.
func (d *Disk) SetFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

// Fill leaves room for that many further bytes. A larger write to a file writes what
// fits and fails; reading, truncating and removing files works, and makes room.
func (d *Disk) Fill(room int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = true
	d.limit = d.used() + room
}

// Free ends the effect of Fill.
func (d *Disk) Free() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = false
}

// used returns the size of all files in bytes. The caller holds d.mu.
func (d *Disk) used() int {
	size := 0
	for _, file := range d.files {
		size += len(file.content)
	}
	return size
}

// room returns how many of size bytes can be written. The caller holds d.mu.
func (d *Disk) room(size int) int {
	if !d.full {
		return size
	}
	return min(size, max(0, d.limit-d.used()))
}

// FailNextSync makes the next sync of a file fail once. What was written since the sync
// before can be read and is never made durable by a later sync.
func (d *Disk) FailNextSync() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failNextSync = true
}

// Mount is one process's view of a Disk. It implements disk.Folder. After a
// crash or an erasure of the disk, opening, writing or removing a file through
// it returns ErrDisk.
type Mount struct {
	*Disk
	generation int
}

// Mount returns a view of the disk for a new process.
func (d *Disk) Mount() *Mount {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Mount{Disk: d, generation: d.generation}
}

// checkAlive returns ErrDisk if the disk has crashed or was erased since the
// mount.
func (m *Mount) checkAlive() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.generation != m.Disk.generation {
		return ErrDisk
	}
	return nil
}

// Append implements disk.Folder.
func (m *Mount) Append(name string) (disk.File, error) {
	err := m.checkAlive()
	if err != nil {
		return nil, err
	}
	return m.Disk.Append(name)
}

// WriteFile implements disk.Folder.
func (m *Mount) WriteFile(name string, data []byte) error {
	err := m.checkAlive()
	if err != nil {
		return err
	}
	return m.Disk.WriteFile(name, data)
}

// Remove implements disk.Folder.
func (m *Mount) Remove(name string) error {
	err := m.checkAlive()
	if err != nil {
		return err
	}
	return m.Disk.Remove(name)
}

// ReadFile implements disk.Folder.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := d.files[name]
	if file == nil {
		return nil, errors.Newf("read %s: %w", name, disk.ErrNotExist)
	}
	return bytes.Clone(file.content), nil
}

// Append implements disk.Folder.
func (d *Disk) Append(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing {
		return nil, ErrDisk
	}
	d.file(name)
	return &openFile{disk: d, name: name, generation: d.generation}, nil
}

// WriteFile implements disk.Folder.
func (d *Disk) WriteFile(name string, data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing {
		return ErrDisk
	}
	if d.room(len(data)) < len(data) {
		return ErrFull
	}
	file := d.file(name)
	file.content = bytes.Clone(data)
	file.synced = len(data)
	file.lost = false
	return nil
}

// Remove implements disk.Folder.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}

// List implements disk.Folder.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// file returns the file called name and creates it if absent. The caller holds
// d.mu.
func (d *Disk) file(name string) *diskFile {
	if d.files == nil {
		d.files = make(map[string]*diskFile)
	}
	if d.files[name] == nil {
		d.files[name] = &diskFile{}
	}
	return d.files[name]
}

// liveFile returns the file's content, or ErrDisk if the disk is failing, has
// crashed since the file was opened or no longer holds the file. The caller
// holds the disk's mutex.
func (f *openFile) liveFile() (*diskFile, error) {
	file := f.disk.files[f.name]
	if f.disk.failing || f.generation != f.disk.generation || file == nil {
		return nil, ErrDisk
	}
	return file, nil
}

func (f *openFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	file, err := f.liveFile()
	if err != nil {
		return 0, err
	}
	written := f.disk.room(len(p))
	file.content = append(file.content, p[:written]...)
	if written < len(p) {
		return written, ErrFull
	}
	return written, nil
}

func (f *openFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	file, err := f.liveFile()
	if err != nil {
		return err
	}
	if f.disk.failNextSync {
		f.disk.failNextSync = false
		file.lost = true
		return ErrDisk
	}
	if !file.lost {
		file.synced = len(file.content)
	}
	return nil
}

func (f *openFile) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	file, err := f.liveFile()
	if err != nil {
		return err
	}
	file.content = file.content[:size]
	file.lost = file.lost && int(size) > file.synced
	file.synced = min(file.synced, int(size))
	return nil
}

func (f *openFile) Close() error {
	return nil
}
