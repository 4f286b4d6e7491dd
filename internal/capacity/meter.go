package capacity

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// usage is a sample of the resources that the process has used since its start:
// processor time, number of heap allocations and bytes allocated.
type usage struct {
	processor   time.Duration
	allocations uint64
	allocated   uint64
	wall        time.Time
}

func measureUsage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		processor:   time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		allocations: m.Mallocs,
		allocated:   m.TotalAlloc,
		wall:        time.Now(),
	}
}

// since returns what the process used between two samples: processor time,
// number of heap allocations and bytes allocated.
func (u usage) since(before usage) (processor time.Duration, allocations, allocated float64) {
	return u.processor - before.processor, float64(u.allocations - before.allocations), float64(u.allocated - before.allocated)
}

// liveHeapBytes returns the size of the live heap in bytes, after two garbage
// collections.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// network is a TCP network that counts the bytes sent and received on dialled
// connections, by the dialled address.
type network struct {
	transport.TCP

	mu    sync.Mutex
	bytes map[string]*atomic.Int64
}

// counter returns the byte counter of the connections dialled to address.
func (n *network) counter(address string) *atomic.Int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bytes == nil {
		n.bytes = make(map[string]*atomic.Int64)
	}
	if n.bytes[address] == nil {
		n.bytes[address] = &atomic.Int64{}
	}
	return n.bytes[address]
}

// DialContext implements transport.Network.
func (n *network) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := n.TCP.DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: n.counter(address)}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// folder wraps a data folder and counts the bytes appended to its files, the
// syncs, and the total time of the syncs in nanoseconds.
type folder struct {
	disk.Folder

	written  atomic.Int64
	syncs    atomic.Int64
	syncTime atomic.Int64
}

// Append implements disk.Folder.
func (f *folder) Append(name string) (disk.File, error) {
	opened, err := f.Folder.Append(name)
	if err != nil {
		return nil, err
	}
	return &countedFile{File: opened, folder: f}, nil
}

type countedFile struct {
	disk.File
	folder *folder
}

func (f *countedFile) Write(p []byte) (int, error) {
	f.folder.written.Add(int64(len(p)))
	return f.File.Write(p)
}

func (f *countedFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	f.folder.syncTime.Add(int64(time.Since(start)))
	f.folder.syncs.Add(1)
	return err
}

// discardFolder is a data folder that stores nothing, so that measurements of
// memory include no file contents.
type discardFolder struct{}

type discardFile struct{}

func (discardFolder) ReadFile(string) ([]byte, error)  { return nil, disk.ErrNotExist }
func (discardFolder) Append(string) (disk.File, error) { return discardFile{}, nil }
func (discardFolder) WriteFile(string, []byte) error   { return nil }
func (discardFolder) Remove(string) error              { return nil }
func (discardFolder) List() ([]string, error)          { return nil, nil }
func (discardFile) Write(p []byte) (int, error)        { return len(p), nil }
func (discardFile) Sync() error                        { return nil }
func (discardFile) Truncate(int64) error               { return nil }
func (discardFile) Close() error                       { return nil }
