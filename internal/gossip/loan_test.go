package gossip

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/place"
)

// fakeTokens is an entry's tokens of one workspace.
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
	err = g.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g, held
}

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
		t.Errorf("borrower %d, lender %d", borrowerTokens.balance(), lenderTokens.balance())
	}
}

func TestUnknownEntriesBorrowNothing(t *testing.T) {
	borrower, borrowerTokens := startGossiper(t, 0)
	lender, lenderTokens := startGossiper(t, 1000)
	borrower.SetPeers([]string{lender.Address})
	lender.SetPeers([]string{lender.Address})
	borrower.Borrow(t.Context(), lender.Address, "w", 300, false)
	if borrowerTokens.balance() != 0 || lenderTokens.balance() != 1000 {
		t.Errorf("borrower %d, lender %d", borrowerTokens.balance(), lenderTokens.balance())
	}
}

// TestRepeatedDatagramsMoveTokensOnce repeats an ask and its answer.
func TestRepeatedDatagramsMoveTokensOnce(t *testing.T) {
	var table loans
	lend := func() int64 { return 50 }
	now := time.Now()
	first := table.lendOnce(7, now, lend)
	repeated := table.lendOnce(7, now.Add(time.Second), func() int64 { t.Error("lent again"); return 0 })
	if first != 50 || repeated != 50 {
		t.Errorf("%d and %d", first, repeated)
	}
	from := netip.MustParseAddrPort("127.0.0.1:9")
	table.open(8, &pendingLoan{lender: from, sent: now})
	if table.close(8, netip.MustParseAddrPort("127.0.0.1:10")) != nil {
		t.Error("an answer of another entry was taken")
	}
	if table.close(8, from) == nil || table.close(8, from) != nil {
		t.Error("an answer counts once, and the first time")
	}
}

func TestLoanMessagesRoundTrip(t *testing.T) {
	request := loanRequest{id: 1 << 63, tokens: 14964, draw: true, workspace: "north"}
	gotRequest, err := decodeLoanRequest(request.append(nil))
	if err != nil || gotRequest != request {
		t.Errorf("%+v, %v", gotRequest, err)
	}
	response := loanResponse{id: 5, tokens: 12}
	gotResponse, err := decodeLoanResponse(response.append(nil))
	if err != nil || gotResponse != response {
		t.Errorf("%+v, %v", gotResponse, err)
	}
	for _, data := range [][]byte{nil, {formatLoanRequest}, {formatLoanResponse, 1}, loanRequest{id: 1, tokens: -5}.append(nil), loanResponse{tokens: -1}.append(nil)} {
		if _, err := decodeLoanRequest(data); err == nil {
			t.Errorf("ask %v was read", data)
		}
		if _, err := decodeLoanResponse(data); err == nil {
			t.Errorf("answer %v was read", data)
		}
	}
}
