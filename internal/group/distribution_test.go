package group_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	benchServers = 23
	benchChanges = 40
)

// countingTCP counts the bytes of dialled connections in both directions.
type countingTCP struct {
	transport.TCP
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (n countingTCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.TCP.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: n.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkDistribution measures the time from the acceptance of a patch until
// it is in force at every watcher, over loopback TCP with three control
// instances, and the traffic and processor time for each watcher.
func BenchmarkDistribution(b *testing.B) {
	for _, watchers := range []int{9, 50, 200} {
		b.Run(fmt.Sprintf("watchers-%d", watchers), func(b *testing.B) {
			for b.Loop() {
				measureDistribution(b, watchers)
			}
		})
	}
}

func measureDistribution(b *testing.B, count int) {
	f := &fleet{replicatedLog: &replicatedLog{paused: make(map[int][][]byte)}}
	defer f.close()
	for i := range 3 {
		f.replicatedLog.groups = append(f.replicatedLog.groups, group.New(nil))
		mux := http.NewServeMux()
		f.replicatedLog.groups[i].Handle(mux, "", f.replicatedLog)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		f.addresses = append(f.addresses, listener.Addr().String())
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }()
		f.closers = append(f.closers, func() { _ = server.Close() })
	}
	applyPatch(b, f, 1, benchDocument())
	var bytes atomic.Int64
	watchers := make([]*group.Watcher, count)
	for i := range watchers {
		watchers[i] = f.startWatcherOver(countingTCP{bytes: &bytes})
		<-watchers[i].Ready()
	}
	time.Sleep(time.Second)
	idleBytes, idleCPU := bytes.Load(), processCPUTime(b)
	time.Sleep(5 * time.Second)
	idleBytes, idleCPU = bytes.Load()-idleBytes, processCPUTime(b)-idleCPU
	beforeBytes, beforeCPU := bytes.Load(), processCPUTime(b)
	start := time.Now()
	var delays []time.Duration
	for n := uint64(2); n < benchChanges+2; n++ {
		accepted := time.Now()
		applyPatch(b, f, n, fmt.Sprintf(`{"backend_servers":{"server-%d":{"concurrency":%d}}}`, n%benchServers, n))
		delays = append(delays, waitInForce(watchers, n, accepted)...)
	}
	took := time.Since(start).Seconds()
	busyBytes, busyCPU := bytes.Load()-beforeBytes, processCPUTime(b)-beforeCPU
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	deliveries := float64(count * benchChanges)
	idle := float64(idleBytes) / 5
	b.ReportMetric(float64(delays[len(delays)/2].Microseconds())/1000, "p50_ms")
	b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds())/1000, "p99_ms")
	b.ReportMetric(float64(delays[len(delays)-1].Microseconds())/1000, "max_ms")
	b.ReportMetric(idle/float64(count), "idle_B/s/watcher")
	b.ReportMetric((float64(busyBytes)-idle*took)/deliveries, "B/change/watcher")
	b.ReportMetric(idleCPU.Seconds()/5/float64(count)*1e6, "idle_cpu_us/s/watcher")
	b.ReportMetric((busyCPU.Seconds()-idleCPU.Seconds()/5*took)/deliveries*1e6, "cpu_us/change/watcher")
}

// waitInForce waits until each watcher has version n in force and returns the
// delays since accepted.
func waitInForce(watchers []*group.Watcher, n uint64, accepted time.Time) []time.Duration {
	delays := make([]time.Duration, 0, len(watchers))
	for _, w := range watchers {
		for w.Active().Number < n {
			time.Sleep(time.Millisecond)
		}
		delays = append(delays, w.Active().Since.Sub(accepted))
	}
	return delays
}

func applyPatch(b *testing.B, f *fleet, n uint64, patch string) {
	b.Helper()
	command := group.PatchConfiguration{ID: fmt.Sprint(n), Against: n - 1, Patch: []byte(patch)}
	result, err := group.Propose(context.Background(), f.replicatedLog, command)
	if err != nil || result.Code != group.CodeDone {
		b.Fatalf("apply patch %d: got %+v and error %v, want it done", n, result, err)
	}
}

func benchDocument() string {
	var servers []string
	for i := range benchServers {
		servers = append(servers, fmt.Sprintf(`"server-%d":{"address":"10.0.1.%d:7000","failure_domain":"a","kind":"model"}`, i, i+1))
	}
	return `{"backend_servers":{` + strings.Join(servers, ",") + `}}`
}

// processCPUTime returns the processor time that this process has used, control
// instances and watchers together.
func processCPUTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		b.Fatal(os.NewSyscallError("getrusage", err))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
