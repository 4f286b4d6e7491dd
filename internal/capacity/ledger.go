package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	ledgerCallers  = 64
	reservedTokens = 600
	settledTokens  = 418
	// budgetTokens is the deposit of each workspace, so large that no budget is
	// used up.
	budgetTokens    = 1 << 40
	responseBytes   = 256
	workspacePrefix = "workspace-"
)

var (
	requestCounts      = []int{1000, 2000, 4000}
	reportBudgetCounts = []int{1000, 10_000, 50_000}
	budgetCounts       = []int{1000, 100_000, 610_000}
)

// directLog is a group.Log without replication: it applies each command to a
// group in the same process at once.
type directLog struct {
	group *group.Group
}

// Propose implements group.Log.
func (l directLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	return l.group.Apply(command), nil
}

func openLedger(files disk.Folder, g *group.Group) (*ledger.Ledger, error) {
	return ledger.Open(ledger.Options{
		Instance:      "control-1",
		FailureDomain: "a",
		Folder:        files,
		Group:         directLog{group: g},
		Log:           log.New(io.Discard),
	})
}

func deposit(g *group.Group, workspace string) error {
	_, err := group.Propose(context.Background(), directLog{group: g}, group.Deposit{ID: workspace, Workspace: workspace, Tokens: budgetTokens})
	return err
}

func newReserve(workspace string, i int) ledger.Reserve {
	key := fmt.Sprintf("request-%012d", i)
	hash := sha256.Sum256([]byte(key))
	return ledger.Reserve{Workspace: workspace, Key: key, BodyHash: hash[:], Tokens: reservedTokens, Attempt: key, Server: "engine-1", Entry: "entry-1", Repeatable: true}
}

func newSettle(workspace string, i int) ledger.Settle {
	key := fmt.Sprintf("request-%012d", i)
	return ledger.Settle{Workspace: workspace, Key: key, Attempt: key, Tokens: settledTokens, Response: ledger.Response{Status: http.StatusOK, ContentType: "text/event-stream", Body: make([]byte, responseBytes)}}
}

// runConcurrently calls call with each number from 0 to count-1, from the given
// number of goroutines. A goroutine stops at its first error. It returns one of
// the errors, if any.
func runConcurrently(count, callers int, call func(i int) error) error {
	var group sync.WaitGroup
	failures := make(chan error, callers)
	for worker := range callers {
		group.Go(func() {
			for i := worker; i < count; i += callers {
				err := call(i)
				if err != nil {
					failures <- err
					return
				}
			}
		})
	}
	group.Wait()
	close(failures)
	return <-failures
}

// ledgerCosts are the costs of a ledger for one number of requests: processor
// and recovery in seconds, wire, journal and memory in bytes, and syncTime as
// the mean time of one sync.
type ledgerCosts struct {
	processor, allocations, wire, journal, syncs, memory, recovery float64
	syncTime                                                       time.Duration
}

// measureLedgerRequests returns the costs of reserving and settling count
// requests over loopback TCP, and of recovering the ledger from its journal
// afterwards.
func measureLedgerRequests(count int) (ledgerCosts, error) {
	path, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return ledgerCosts{}, errors.Newf("create data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(path) }()
	files, err := disk.Open(path)
	if err != nil {
		return ledgerCosts{}, err
	}
	counted := &folder{Folder: files}
	g := group.New(nil)
	err = deposit(g, "workspace")
	if err != nil {
		return ledgerCosts{}, err
	}
	before := liveHeapBytes()
	l, err := openLedger(counted, g)
	if err != nil {
		return ledgerCosts{}, err
	}
	costs, err := runLedgerRequests(l, counted, count)
	costs.memory = float64(liveHeapBytes()) - float64(before)
	l.Close()
	if err != nil {
		return ledgerCosts{}, err
	}
	start := time.Now()
	reopened, err := openLedger(files, g)
	if err != nil {
		return ledgerCosts{}, errors.Newf("reopen ledger: %w", err)
	}
	costs.recovery = time.Since(start).Seconds()
	reopened.Close()
	return costs, nil
}

// runLedgerRequests serves the ledger over loopback TCP, reserves and settles
// count requests and returns their costs except memory and recovery.
func runLedgerRequests(l *ledger.Ledger, counted *folder, count int) (ledgerCosts, error) {
	mux := http.NewServeMux()
	l.Handle(mux, "")
	server, err := serve(mux)
	if err != nil {
		return ledgerCosts{}, err
	}
	defer server.close()
	metered := &network{}
	client := &ledger.Client{Addresses: []string{server.address}, Peer: &peer.Client{HTTP: transport.Client(metered)}}
	ctx := context.Background()
	before := measureUsage()
	err = runConcurrently(count, ledgerCallers, func(i int) error {
		reservation, err := client.Reserve(ctx, newReserve("workspace", i))
		if err != nil {
			return err
		}
		if reservation.Outcome != ledger.OutcomeReserved {
			return errors.Newf("reserve tokens: unexpected outcome %s", reservation.Outcome)
		}
		settle := newSettle("workspace", i)
		settle.Attempt = reservation.Attempt
		return client.Settle(ctx, reservation.Address, settle)
	})
	if err != nil {
		return ledgerCosts{}, err
	}
	processor, allocations, _ := measureUsage().since(before)
	return ledgerCosts{
		processor:   processor.Seconds(),
		allocations: allocations,
		wire:        float64(metered.counter(server.address).Load()),
		journal:     float64(counted.written.Load()),
		syncs:       float64(counted.syncs.Load()),
		syncTime:    time.Duration(counted.syncTime.Load() / max(1, counted.syncs.Load())),
	}, nil
}

// measureLedger adds the slopes per request of a ledger, including the client
// calls of the entry.
func measureLedger(report *Report) error {
	points := make(map[string][]Point)
	add := func(name string, size int, cost float64) {
		points[name] = append(points[name], Point{Size: float64(size), Cost: cost})
	}
	for _, count := range requestCounts {
		costs, err := measureLedgerRequests(count)
		if err != nil {
			return errors.Newf("measure ledger with %d requests: %w", count, err)
		}
		add("ledger_processor", count, costs.processor)
		add("ledger_allocations", count, costs.allocations)
		add("ledger_wire", count, costs.wire)
		add("ledger_journal", count, costs.journal)
		add("ledger_syncs", count, costs.syncs)
		add("ledger_memory", count, costs.memory)
		add("ledger_recovery", count, costs.recovery)
		report.SyncMillis = costs.syncTime.Seconds() * 1000
	}
	units := map[string]string{"ledger_processor": "s", "ledger_allocations": "allocations", "ledger_wire": "bytes", "ledger_journal": "bytes", "ledger_syncs": "syncs", "ledger_memory": "bytes", "ledger_recovery": "s"}
	for name, unit := range units {
		report.add(Fit(name, unit, "reserve and settle, 64 callers", points[name]))
	}
	return nil
}

// measureBudgets adds the slopes of the memory per budget, at the control group
// and at a ledger.
func measureBudgets(report *Report) error {
	var atGroup, atLedger []Point
	for _, count := range budgetCounts {
		initialHeap := liveHeapBytes()
		g := group.New(nil)
		for i := range count {
			err := deposit(g, fmt.Sprintf("%s%d", workspacePrefix, i))
			if err != nil {
				return err
			}
		}
		depositedHeap := liveHeapBytes()
		l, err := openLedger(discardFolder{}, g)
		if err != nil {
			return err
		}
		err = runConcurrently(count, ledgerCallers, func(i int) error {
			workspace := fmt.Sprintf("%s%d", workspacePrefix, i)
			_, err := l.Reserve(context.Background(), newReserve(workspace, i))
			if err != nil {
				return err
			}
			settle := newSettle(workspace, i)
			settle.Response = ledger.Response{}
			return l.Settle(context.Background(), settle)
		})
		if err != nil {
			return errors.Newf("measure ledger with %d budgets: %w", count, err)
		}
		settledHeap := liveHeapBytes()
		l.Close()
		atGroup = append(atGroup, Point{Size: float64(count), Cost: float64(depositedHeap) - float64(initialHeap)})
		atLedger = append(atLedger, Point{Size: float64(count), Cost: float64(settledHeap) - float64(depositedHeap)})
	}
	report.add(Fit("group_memory_per_budget", "bytes", "budget with one deposit, no grant", atGroup))
	report.add(Fit("ledger_memory_per_budget", "bytes", "budget with one settled request, and its grant at the group", atLedger))
	return nil
}

// countingLog is a directLog that counts the bytes of the proposed commands.
type countingLog struct {
	directLog

	bytes int
}

// Propose implements group.Log.
func (l *countingLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.bytes += len(command)
	return l.directLog.Propose(ctx, command)
}

// measureReports adds the slopes of the cost of a ledger's report to the control
// group, per budget that changed since the previous report.
func measureReports(report *Report) error {
	const epoch = "control-1/0123456789abcdefghijklmnop"
	var processors, bytes []Point
	for _, size := range reportBudgetCounts {
		g := group.New(nil)
		counted := &countingLog{directLog: directLog{group: g}}
		counters := make(map[string]budget.Counters, size)
		for i := range size {
			workspace := fmt.Sprintf("%s%d", workspacePrefix, i)
			err := deposit(g, workspace)
			if err != nil {
				return err
			}
			draw := group.Draw{Epoch: epoch, Workspace: workspace, Want: budgetTokens / 2}
			_, err = group.Propose(context.Background(), counted, group.OpenEpoch{Epoch: epoch})
			if err == nil {
				_, err = group.Propose(context.Background(), counted, draw)
			}
			if err != nil {
				return err
			}
			counters[workspace] = budget.Counters{Billed: reservedTokens * int64(i+1), Reserved: reservedTokens}
		}
		sentBytes, start := counted.bytes, measureUsage()
		_, err := group.Propose(context.Background(), counted, group.Report{Epoch: epoch, Counters: counters})
		if err != nil {
			return err
		}
		processor, _, _ := measureUsage().since(start)
		processors = append(processors, Point{Size: float64(size), Cost: processor.Seconds()})
		bytes = append(bytes, Point{Size: float64(size), Cost: float64(counted.bytes - sentBytes)})
	}
	report.add(Fit("report_processor", "s", "budget in one report, at one member", processors))
	report.add(Fit("report_command", "bytes", "budget in one report", bytes))
	return nil
}
