package ledger

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/group"
)

// openForBenchmark opens a ledger and grants tokens to the given number of
// workspaces.
func openForBenchmark(b *testing.B, folder disk.Folder, workspaces int) *Ledger {
	b.Helper()
	s := singleMemberLog{group: group.New(nil)}
	for i := range 10 {
		name := fmt.Sprintf("workspace-%d", i)
		_, err := group.Propose(context.Background(), s, group.Deposit{ID: name, Workspace: name, Tokens: 1 << 50})
		if err != nil {
			b.Fatal(err)
		}
	}
	l, err := Open(Options{Instance: "control-a", Folder: folder, Group: s, Log: log.New(io.Discard)})
	if err != nil {
		b.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range workspaces {
		synced := l.commit(granted{Workspace: fmt.Sprintf("workspace-%d", i), Granted: 1 << 50})
		if i%1000 == 999 {
			err = <-synced
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	err = <-l.journal.Barrier()
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// BenchmarkReserveSettle reserves and settles from 1, 16 and 256 goroutines on
// a real disk.
func BenchmarkReserveSettle(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkReserveSettle(b, callers) })
	}
}

func benchmarkReserveSettle(b *testing.B, callers int) {
	folder, err := disk.Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	l := openForBenchmark(b, folder, 0)
	defer l.Close()
	var next atomic.Int64
	var mu sync.Mutex
	var latencies []time.Duration
	var workers sync.WaitGroup
	syncs := l.journal.Syncs()
	cpuBefore := processorTime()
	b.ResetTimer()
	for range callers {
		workers.Go(func() {
			var ownLatencies []time.Duration
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				start := time.Now()
				reserveAndSettle(b, l, i)
				ownLatencies = append(ownLatencies, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, ownLatencies...)
		})
	}
	workers.Wait()
	b.StopTimer()
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-µs/op")
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(l.journal.Syncs()-syncs)/b.Elapsed().Seconds(), "syncs/s")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func reserveAndSettle(b *testing.B, l *Ledger, i int64) {
	r := newReserve(fmt.Sprintf("key-%d", i), fmt.Sprintf("attempt-%d", i))
	r.Workspace = fmt.Sprintf("workspace-%d", i%10)
	_, err := l.Reserve(context.Background(), r)
	if err == nil {
		err = l.Settle(context.Background(), Settle{Workspace: r.Workspace, Key: r.Key, Attempt: r.Attempt, Tokens: 40})
	}
	if err != nil {
		b.Error(err)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkBudgets measures the memory and the snapshot size of a budget, and
// the time to write the snapshot.
func BenchmarkBudgets(b *testing.B) {
	for _, count := range []int{1_000, 100_000, 610_000} {
		b.Run(fmt.Sprintf("budgets=%d", count), func(b *testing.B) {
			for range b.N {
				folder, err := disk.Open(b.TempDir())
				if err != nil {
					b.Fatal(err)
				}
				before := heapBytes()
				l := openForBenchmark(b, folder, count)
				after := heapBytes()
				b.ReportMetric(float64(after-before)/float64(count), "B/budget")
				start := time.Now()
				err = l.rotate()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(time.Since(start).Milliseconds()), "snapshot-ms")
				b.ReportMetric(float64(l.snapshotBytes)/float64(count), "snapshot-B/budget")
				l.Close()
			}
		})
	}
}

// BenchmarkRecovery measures the time to open a ledger with journals of several
// lengths, and the memory of a settled record without a response.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("requests=%d", count), func(b *testing.B) {
			folder, err := disk.Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			l := openForBenchmark(b, folder, 10)
			fillJournal(b, l, count)
			size := l.journal.Size()
			l.Close()
			b.ResetTimer()
			for range b.N {
				before := heapBytes()
				start := time.Now()
				reopened := openForBenchmark(b, folder, 0)
				b.ReportMetric(float64(time.Since(start).Milliseconds()), "recovery-ms")
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "B/record")
				b.ReportMetric(float64(size)/(1<<20), "journal-MiB")
				reopened.Close()
			}
		})
	}
}

// fillJournal reserves and settles the given number of requests.
func fillJournal(b *testing.B, l *Ledger, count int) {
	b.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range count {
		r := newReserve(fmt.Sprintf("key-%d", i), fmt.Sprintf("attempt-%d", i))
		r.Workspace = "workspace-0"
		l.commit(reserved{Reserve: r, At: nowMillis()})
		synced := l.commit(settled{Settle: Settle{Workspace: r.Workspace, Key: r.Key, Attempt: r.Attempt, Tokens: 40}, At: nowMillis()})
		if i%500 != 499 && i != count-1 {
			continue
		}
		err := <-synced
		if err != nil {
			b.Fatal(err)
		}
	}
}
