package gossip

import (
	"context"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quarantine"
)

// fakeTokens implements Tokens for a single workspace.
type fakeTokens struct {
	mu     sync.Mutex
	tokens int64
}

func (f *fakeTokens) Lend(_ string, requested int64, _ bool) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	lent := min(requested, f.tokens)
	f.tokens -= lent
	return lent
}

func (f *fakeTokens) TakeLoan(_, _ string, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens += tokens
}

func (f *fakeTokens) balance() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens
}

// startGossiper starts a gossiper on a free port with the given number of
// tokens.
func startGossiper(t *testing.T, tokens int64) (*Gossiper, *fakeTokens) {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.LocalAddr().String()
	_ = socket.Close()
	held := &fakeTokens{tokens: tokens}
	g := &Gossiper{Address: address, Fleet: &place.Fleet{}, Tokens: held, Log: log.New(io.Discard)}
	g.Evidence = &quarantine.Registry{Announce: g.AnnounceEvidence}
	err = g.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g, held
}

// An entry that can't draw tokens must get them from a lender, and each token
// must be held by one of them only.
func TestTokensAreBorrowed(t *testing.T) {
	borrower, borrowerTokens := startGossiper(t, 0)
	lender, lenderTokens := startGossiper(t, 1000)
	addresses := []string{borrower.Address, lender.Address}
	borrower.SetPeers(addresses)
	lender.SetPeers(addresses)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	borrower.Borrow(ctx, lender.Address, "w", 300, false)
	if borrowerTokens.balance() != 300 || lenderTokens.balance() != 700 {
		t.Errorf("borrower has %d tokens, lender %d, want 300 and 700", borrowerTokens.balance(), lenderTokens.balance())
	}
}

// A process that is not a known entry must not get tokens.
func TestUnknownEntriesBorrowNothing(t *testing.T) {
	borrower, borrowerTokens := startGossiper(t, 0)
	lender, lenderTokens := startGossiper(t, 1000)
	borrower.SetPeers([]string{lender.Address})
	lender.SetPeers([]string{lender.Address})
	borrower.Borrow(t.Context(), lender.Address, "w", 300, false)
	if borrowerTokens.balance() != 0 || lenderTokens.balance() != 1000 {
		t.Errorf("borrower has %d tokens, lender %d, want 0 and 1000", borrowerTokens.balance(), lenderTokens.balance())
	}
}

// UDP may duplicate datagrams, and a borrower sends its request again. Neither
// a repeated request nor a repeated response may move tokens twice.
func TestRepeatedDatagramsMoveTokensOnce(t *testing.T) {
	var table loans
	lend := func() int64 { return 50 }
	now := time.Now()
	first := table.lendOnce(7, now, lend)
	repeated := table.lendOnce(7, now.Add(time.Second), func() int64 { t.Error("a repeated request lent tokens again"); return 0 })
	if first != 50 || repeated != 50 {
		t.Errorf("lent %d tokens, then %d to a repeated request, want 50 both times", first, repeated)
	}
	from := netip.MustParseAddrPort("127.0.0.1:9")
	table.open(8, &pendingLoan{lender: from, sent: now})
	if table.close(8, netip.MustParseAddrPort("127.0.0.1:10")) != nil {
		t.Error("accepted a response from an entry that is not the lender")
	}
	if table.close(8, from) == nil || table.close(8, from) != nil {
		t.Error("want a response to be accepted the first time and rejected the second time")
	}
}

// Loan messages must decode to what was encoded, and malformed datagrams or
// negative token counts must be rejected.
func TestLoanMessagesRoundTrip(t *testing.T) {
	request := loanRequest{id: 1 << 63, tokens: 14964, draw: true, workspace: "north"}
	gotRequest, err := decodeLoanRequest(request.append(nil))
	if err != nil || gotRequest != request {
		t.Errorf("decoded request %+v with error %v, want the encoded one", gotRequest, err)
	}
	response := loanResponse{id: 5, tokens: 12}
	gotResponse, err := decodeLoanResponse(response.append(nil))
	if err != nil || gotResponse != response {
		t.Errorf("decoded response %+v with error %v, want the encoded one", gotResponse, err)
	}
	for _, data := range [][]byte{nil, {formatLoanRequest}, {formatLoanResponse, 1}, loanRequest{id: 1, tokens: -5}.append(nil), loanResponse{tokens: -1}.append(nil)} {
		if _, err := decodeLoanRequest(data); err == nil {
			t.Errorf("decoded %v as a loan request, want an error", data)
		}
		if _, err := decodeLoanResponse(data); err == nil {
			t.Errorf("decoded %v as a loan response, want an error", data)
		}
	}
}

// A borrower asks many lenders at the same time, whose datagrams arrive repeated, late and
// in any order, or are lost. No token may be held twice, and only loans of which every
// response was lost may be missing.
func TestParallelLoansMoveTokensOnce(t *testing.T) {
	const (
		lenders = 45
		held    = 1000
		asked   = 700
	)
	for seed := range uint64(100) {
		random := mathrand.New(mathrand.NewPCG(seed, 0))
		now := time.Now()
		var borrower loans
		tables := make([]loans, lenders)
		balances := make([]int64, lenders)
		var requests []int
		for i := range lenders {
			balances[i] = held
			borrower.open(uint64(i), &pendingLoan{lender: lenderAddress(i), sent: now})
			for range random.IntN(4) {
				requests = append(requests, i)
			}
		}
		random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
		var taken int64
		responded := make(map[int]bool)
		for _, i := range requests {
			lent := tables[i].lendOnce(uint64(i), now, func() int64 {
				amount := min(asked, balances[i])
				balances[i] -= amount
				return amount
			})
			for range random.IntN(3) {
				responded[i] = true
				if borrower.close(uint64(i), lenderAddress(i)) != nil {
					taken += lent
				}
			}
		}
		sum := taken
		for _, balance := range balances {
			sum += balance
		}
		lost := int64(0)
		for i, balance := range balances {
			if balance < held && !responded[i] {
				lost += asked
			}
		}
		if sum != lenders*held-lost {
			t.Errorf("seed %d: %d tokens in all, want %d less the %d of lost responses", seed, sum, lenders*held, lost)
		}
	}
}

// lenderAddress returns the address of a lender by its number.
func lenderAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 9)
}
