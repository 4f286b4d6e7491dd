package quorum

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// countingMachine only counts commands, so that a benchmark measures the log and
// not the state machine.
type countingMachine struct {
	count int
}

func (m *countingMachine) Apply([]byte) []byte {
	m.count++
	return nil
}

func (m *countingMachine) Snapshot() ([]byte, error) {
	return peer.Encode(m.count)
}

func (m *countingMachine) Restore(data []byte) error {
	return peer.Decode(data, &m.count)
}

// benchCommandBytes is the size of one command.
const benchCommandBytes = 200

// startLoopbackGroup starts members on the operating system's disk and loopback
// network and returns the leader. It adds the bytes that the members exchange to
// bytes.
func startLoopbackGroup(b *testing.B, size int, bytes *atomic.Int64) *Node {
	sockets := make([]net.Listener, size)
	members := make([]Member, size)
	for i := range size {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		sockets[i] = socket
		members[i] = Member{ID: fmt.Sprint(i + 1), Address: socket.Addr().String()}
	}
	nodes := make([]*Node, size)
	for i, socket := range sockets {
		folder, err := disk.Open(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		nodes[i], err = Open(Options{
			ID:           members[i].ID,
			Members:      members,
			Folder:       folder,
			StateMachine: &countingMachine{},
			Client:       &peer.Client{HTTP: transport.Client(transport.TCP{})},
		})
		if err != nil {
			b.Fatal(err)
		}
		mux := http.NewServeMux()
		nodes[i].Handle(mux, "")
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(countingListener{Listener: socket, bytes: bytes}) }()
		b.Cleanup(func() {
			nodes[i].shutDown()
			_ = server.Close()
		})
	}
	return awaitLeader(b, nodes)
}

// awaitLeader returns the leader once it serves reads.
func awaitLeader(b *testing.B, nodes []*Node) *Node {
	for range 1000 {
		for _, n := range nodes {
			if n.Status().Role == string(roleLeader) && n.Barrier(b.Context()) == nil {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no leader elected within 10s")
	return nil
}

// BenchmarkProposeOneAtATime measures the latency of a committed command.
func BenchmarkProposeOneAtATime(b *testing.B) {
	leader := startLoopbackGroup(b, 3, &atomic.Int64{})
	command := make([]byte, benchCommandBytes)
	for b.Loop() {
		_, err := leader.Propose(b.Context(), command)
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkProposeParallel measures the throughput of parallel proposals, which
// share syncs.
func BenchmarkProposeParallel(b *testing.B) {
	leader := startLoopbackGroup(b, 3, &atomic.Int64{})
	command := make([]byte, benchCommandBytes)
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := leader.Propose(b.Context(), command)
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkBarrier measures the latency of a linearizable read at the leader.
func BenchmarkBarrier(b *testing.B) {
	leader := startLoopbackGroup(b, 3, &atomic.Int64{})
	for b.Loop() {
		err := leader.Barrier(b.Context())
		if err != nil {
			b.Fatal(err)
		}
	}
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// countingConn is a connection of a countingListener.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	c.bytes.Add(int64(count))
	return count, err
}

func (c countingConn) Write(p []byte) (int, error) {
	count, err := c.Conn.Write(p)
	c.bytes.Add(int64(count))
	return count, err
}

// BenchmarkHeartbeat sends one heartbeat to one member and reports its bytes
// in both directions.
func BenchmarkHeartbeat(b *testing.B) {
	var bytes atomic.Int64
	leader := startLoopbackGroup(b, 3, &bytes)
	leader.mu.Lock()
	var p *replicator
	for _, p = range leader.leadership.replicators {
	}
	leader.mu.Unlock()
	bytes.Store(0)
	for b.Loop() {
		_, err := p.send()
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-bytes/op")
}

// BenchmarkReopen opens a member whose data folder holds many entries, and reports
// the bytes of the log file for each entry.
func BenchmarkReopen(b *testing.B) {
	for _, entries := range []int{500, 4000, 50_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) { benchmarkReopen(b, entries) })
	}
}

func benchmarkReopen(b *testing.B, entries int) {
	folder := &fake.Disk{}
	options := Options{
		ID:              "1",
		Members:         []Member{memberFor("1")},
		Folder:          folder,
		StateMachine:    &countingMachine{},
		SnapshotEntries: 2 * entries,
	}
	n, err := Open(options)
	if err != nil {
		b.Fatal(err)
	}
	command := make([]byte, benchCommandBytes)
	for range entries {
		_, err = n.Propose(b.Context(), command)
		if err != nil {
			b.Fatal(err)
		}
	}
	n.shutDown()
	data, err := folder.ReadFile(segmentName(0))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		n, err = Open(options)
		if err != nil {
			b.Fatal(err)
		}
		err = n.Barrier(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		n.shutDown()
	}
	b.ReportMetric(float64(len(data))/float64(entries), "log-bytes/entry")
}
