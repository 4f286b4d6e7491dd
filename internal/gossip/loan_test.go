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

// holding is an entry's tokens of one workspace.
type holding struct {
	mu     sync.Mutex
	tokens int64
}

func (p *holding) Lend(_ string, asked int64, _ bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	lent := min(asked, p.tokens)
	p.tokens -= lent
	return lent
}

func (p *holding) TakeLoan(_, _ string, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens += tokens
}

func (p *holding) held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens
}

func spreader(t *testing.T, tokens int64) (*Spreader, *holding) {
	t.Helper()
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.LocalAddr().String()
	_ = socket.Close()
	p := &holding{tokens: tokens}
	s := &Spreader{Address: address, Fleet: &place.Fleet{}, Tokens: p, Log: log.New(io.Discard)}
	err = s.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, p
}

func TestTokensAreBorrowed(t *testing.T) {
	borrower, poor := spreader(t, 0)
	lender, rich := spreader(t, 1000)
	addresses := []string{borrower.Address, lender.Address}
	borrower.SetPeers(addresses)
	lender.SetPeers(addresses)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	borrower.Borrow(ctx, lender.Address, "w", 300, false)
	if poor.held() != 300 || rich.held() != 700 {
		t.Errorf("borrower %d, lender %d", poor.held(), rich.held())
	}
}

func TestUnknownEntriesBorrowNothing(t *testing.T) {
	borrower, poor := spreader(t, 0)
	lender, rich := spreader(t, 1000)
	borrower.SetPeers([]string{lender.Address})
	lender.SetPeers([]string{lender.Address})
	borrower.Borrow(t.Context(), lender.Address, "w", 300, false)
	if poor.held() != 0 || rich.held() != 1000 {
		t.Errorf("borrower %d, lender %d", poor.held(), rich.held())
	}
}

// TestRepeatedDatagramsMoveTokensOnce repeats an ask and its answer.
func TestRepeatedDatagramsMoveTokensOnce(t *testing.T) {
	var lending loans
	lend := func() int64 { return 50 }
	now := time.Now()
	first := lending.give(7, now, lend)
	again := lending.give(7, now.Add(time.Second), func() int64 { t.Error("lent again"); return 0 })
	if first != 50 || again != 50 {
		t.Errorf("%d and %d", first, again)
	}
	from := netip.MustParseAddrPort("127.0.0.1:9")
	lending.open(8, &pendingAsk{lender: from, sent: now})
	if lending.close(8, netip.MustParseAddrPort("127.0.0.1:10")) != nil {
		t.Error("an answer of another entry was taken")
	}
	if lending.close(8, from) == nil || lending.close(8, from) != nil {
		t.Error("an answer counts once, and the first time")
	}
}

func TestLoansAreReadBack(t *testing.T) {
	a := ask{id: 1 << 63, tokens: 14964, draw: true, workspace: "north"}
	gotAsk, err := decodeAsk(a.append(nil))
	if err != nil || gotAsk != a {
		t.Errorf("%+v, %v", gotAsk, err)
	}
	b := answer{id: 5, tokens: 12}
	gotAnswer, err := decodeAnswer(b.append(nil))
	if err != nil || gotAnswer != b {
		t.Errorf("%+v, %v", gotAnswer, err)
	}
	for _, data := range [][]byte{nil, {formatAsk}, {formatAnswer, 1}, ask{id: 1, tokens: -5}.append(nil), answer{tokens: -1}.append(nil)} {
		if _, err := decodeAsk(data); err == nil {
			t.Errorf("ask %v was read", data)
		}
		if _, err := decodeAnswer(data); err == nil {
			t.Errorf("answer %v was read", data)
		}
	}
}
