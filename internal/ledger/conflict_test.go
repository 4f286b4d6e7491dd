package ledger

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// ledgerCluster is three ledgers on a network that can be partitioned, with a
// control group that all of them reach.
type ledgerCluster struct {
	network *fake.Network
	group   singleMemberLog
	ledgers map[string]*Ledger
	servers []*http.Server
	clients []*http.Client
}

// ledgerAddress returns the peer address of a ledger.
func ledgerAddress(name string) string {
	return "10.0.0." + strconv.Itoa(int(name[0])) + ":9000"
}

func newLedgerCluster(t *testing.T) *ledgerCluster {
	t.Helper()
	s := &ledgerCluster{network: &fake.Network{}, group: newFundedLog(t, 1_000_000), ledgers: make(map[string]*Ledger)}
	s.network.SetDelay(time.Millisecond)
	for _, name := range []string{"a", "b", "c"} {
		s.start(t, name)
	}
	return s
}

func (s *ledgerCluster) start(t *testing.T, name string) {
	t.Helper()
	var peers []Peer
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			peers = append(peers, Peer{Instance: other, Address: ledgerAddress(other)})
		}
	}
	client := transport.Client(s.network.Host(name))
	l, err := Open(Options{
		Instance: name,
		Folder:   &fake.Disk{},
		Group:    s.group,
		Peers:    peers,
		Client:   &peer.Client{HTTP: client},
		Log:      log.New(io.Discard),
		Check:    &invariant.Checker{Fatal: func(err error) { t.Error(err) }},
	})
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	l.Handle(mux, "")
	listener, err := s.network.Host(name).Listen(ledgerAddress(name))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	s.ledgers[name] = l
	s.servers = append(s.servers, server)
	s.clients = append(s.clients, client)
}

func (s *ledgerCluster) close() {
	for _, client := range s.clients {
		client.CloseIdleConnections()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, l := range s.ledgers {
		l.Close()
	}
}

// setIsolated isolates a ledger from the other ledgers, or connects it again.
func (s *ledgerCluster) setIsolated(name string, isolated bool) {
	for other := range s.ledgers {
		if other == name {
			continue
		}
		if isolated {
			s.network.Cut(name, other)
			s.network.Cut(other, name)
		} else {
			s.network.Heal(name, other)
			s.network.Heal(other, name)
		}
	}
}

// newSharedReserve returns a Reserve with a key that the caller chose.
func newSharedReserve(key, attempt string) Reserve {
	r := newReserve(key, attempt)
	r.SharedKey = true
	return r
}

// reserveConcurrently reserves a key at the named ledgers, each one stagger
// after the one before it, and returns the results.
func (s *ledgerCluster) reserveConcurrently(t *testing.T, key string, stagger time.Duration, names ...string) map[string]Reservation {
	var group sync.WaitGroup
	var mu sync.Mutex
	got := make(map[string]Reservation)
	for i, name := range names {
		group.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			reservation, err := s.ledgers[name].Reserve(t.Context(), newSharedReserve(key, name))
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			got[name] = reservation
		})
	}
	group.Wait()
	return got
}

// TestOneLedgerWinsASharedKey guards against a key that several ledgers hold,
// or none, after a caller sent it to several ledgers almost at the same time.
func TestOneLedgerWinsASharedKey(t *testing.T) {
	orders := [][]string{{"a", "b"}, {"b", "a"}, {"a", "b", "c"}, {"c", "b", "a"}, {"b", "c", "a"}}
	for _, order := range orders {
		for _, stagger := range []time.Duration{0, 500 * time.Microsecond, time.Millisecond, 1500 * time.Microsecond, 3 * time.Millisecond, 10 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%v/%s", order, stagger), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newLedgerCluster(t)
					defer s.close()
					winners := 0
					for name, reservation := range s.reserveConcurrently(t, "key", stagger, order...) {
						switch reservation.Outcome {
						case OutcomeReserved:
							winners++
						case OutcomeRedirect:
							if s.ledgers[name].Escrow("north").Reserved != 0 {
								t.Errorf("%s redirected the request but kept its reservation, want it released", name)
							}
						default:
							t.Errorf("outcome at %s is %s, want reserved or elsewhere", name, reservation.Outcome)
						}
					}
					if winners != 1 {
						t.Errorf("%d ledgers hold the key, want 1", winners)
					}
				})
			})
		}
	}
}

// TestLowerInstanceIDWinsDuringConflictCheck guards against two holders of a
// key. Ledger b waits for the response of c, which is isolated. Meanwhile a,
// which has responded to b that it does not hold the key, reserves it itself.
// Ledger a has the lower id and must win.
func TestLowerInstanceIDWinsDuringConflictCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLedgerCluster(t)
		defer s.close()
		s.setIsolated("c", true)
		got := s.reserveConcurrently(t, "key", 20*time.Millisecond, "b", "a")
		if got["a"].Outcome != OutcomeReserved || got["b"].Outcome != OutcomeRedirect || got["b"].LedgerAddress != ledgerAddress("a") {
			t.Errorf("got %+v, want reserved at a and a redirect from b to a", got)
		}
	})
}

// TestSecondBillIsVoidedAfterPartition guards against a key that stays billed
// twice, because two ledgers served it while they could not reach each other.
func TestSecondBillIsVoidedAfterPartition(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("first_before_cut=%t", before), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testVoidAfterPartition(t, before) })
		})
	}
}

// testVoidAfterPartition bills one key at c, which is isolated, and at a, which
// reserves it before or during the isolation of c and settles it afterwards.
func testVoidAfterPartition(t *testing.T, before bool) {
	s := newLedgerCluster(t)
	defer s.close()
	reserveAt := func(name string) {
		if mustReserve(t, s.ledgers[name], newSharedReserve("key", name)).Outcome != OutcomeReserved {
			t.Fatalf("%s did not reserve the key", name)
		}
	}
	settleAt := func(name string) {
		err := s.ledgers[name].Settle(t.Context(), newSettle("key", name))
		if err != nil {
			t.Fatal(err)
		}
	}
	if before {
		reserveAt("a")
	}
	s.setIsolated("c", true)
	reserveAt("c")
	settleAt("c")
	if !before {
		time.Sleep(time.Hour)
		reserveAt("a")
	}
	s.setIsolated("c", false)
	time.Sleep(5 * time.Second)
	settleAt("a")
	time.Sleep(30 * time.Second)
	var net int64
	for _, l := range s.ledgers {
		net += l.Escrow("north").Billed - l.Escrow("north").Voided
	}
	account, _ := s.group.group.Account("north")
	if net != 40 || account.Billed() != 40 {
		t.Errorf("ledgers billed %d and the control group %d, want 40 at both", net, account.Billed())
	}
	got := mustReserve(t, s.ledgers["c"], newSharedReserve("key", "retry"))
	if got.Outcome != OutcomeSettled {
		t.Errorf("outcome of the retry is %s, want settled", got.Outcome)
	}
}

// TestBillThatVoidedAnotherIsKept guards against a key without a bill: a and c
// bill it while they cannot reach each other, c's bill is voided because a has
// one, and a retry at a voids a's bill, whose response was lost, although c
// serves the retry from its stored response.
func TestBillThatVoidedAnotherIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLedgerCluster(t)
		defer s.close()
		s.setIsolated("a", true)
		mustReserve(t, s.ledgers["a"], newSharedReserve("key", "a"))
		mustReserve(t, s.ledgers["c"], newSharedReserve("key", "c"))
		err := s.ledgers["c"].Settle(t.Context(), newSettle("key", "c"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Minute)
		s.setIsolated("a", false)
		time.Sleep(time.Minute)
		for _, attempt := range []string{"first", "second"} {
			got := mustReserve(t, s.ledgers["a"], newSharedReserve("key", attempt))
			if got.Outcome != OutcomeRedirect || got.LedgerAddress != ledgerAddress("c") {
				t.Errorf("%s retry at a got %+v, want a redirect to c", attempt, got)
			}
			got = mustReserve(t, s.ledgers["c"], newSharedReserve("key", attempt))
			if got.Outcome != OutcomeSettled || string(got.Response.Body) != "whole" {
				t.Errorf("%s retry at c got %+v, want the stored response", attempt, got)
			}
		}
		time.Sleep(time.Minute)
		bills := 0
		for _, l := range s.ledgers {
			bills += len(l.Bills())
		}
		account, _ := s.group.group.Account("north")
		if bills != 1 || account.Billed() != 100 {
			t.Errorf("%d bills, and the control group counts %d billed tokens, want one bill of 100", bills, account.Billed())
		}
	})
}

// TestPartitionDelaysOneRequestOnly guards against a conflict check that waits
// for an unreachable ledger at every request instead of the first one only, and
// against a ledger that is not queried again once it is reachable.
func TestPartitionDelaysOneRequestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLedgerCluster(t)
		defer s.close()
		s.setIsolated("c", true)
		mustReserve(t, s.ledgers["a"], newSharedReserve("first", "first"))
		start := time.Now()
		mustReserve(t, s.ledgers["a"], newSharedReserve("second", "second"))
		if time.Since(start) > 20*time.Millisecond {
			t.Errorf("the second request took %s, want at most 20ms", time.Since(start))
		}
		s.setIsolated("c", false)
		time.Sleep(5 * time.Second)
		mustReserve(t, s.ledgers["a"], newSharedReserve("third", "third"))
		if mustReserve(t, s.ledgers["c"], newSharedReserve("third", "other")).Outcome != OutcomeRedirect {
			t.Error("c reserved a key that a holds: the ledgers do not query each other after the isolation")
		}
	})
}
