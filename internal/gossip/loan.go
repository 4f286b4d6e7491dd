package gossip

import (
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// loanResponseTimeout is above the way to another failure domain and back.
	loanResponseTimeout = 25 * time.Millisecond
	// loanAttempts is how often one lender is asked before it counts as silent.
	loanAttempts = 2
	// loanTTL is how long a lender repeats its answer to an ask, and a
	// borrower takes a late one in.
	loanTTL = 5 * time.Second
	// maxLoans bounds the asks that are remembered on either side.
	maxLoans = 4096

	minLoanRequestLength = 1 + 8 + 8 + 1
	loanResponseLength   = 1 + 8 + 8
)

// Tokens are the holdings of this entry.
type Tokens interface {
	// Lend gives tokens away for good and returns how many. With draw it draws
	// what it lacks, for a borrower that cannot and will ask again.
	Lend(workspace string, requested int64, draw bool) int64
	// TakeLoan takes in what another entry gave.
	TakeLoan(lender, workspace string, tokens int64)
}

// loanRequest asks for tokens of a workspace. On the wire stand the format, the id, the
// tokens, whether the lender should draw, and the workspace's name.
type loanRequest struct {
	id        uint64
	tokens    int64
	draw      bool
	workspace string
}

func (r loanRequest) append(buffer []byte) []byte {
	buffer = append(buffer, formatLoanRequest)
	buffer = binary.BigEndian.AppendUint64(buffer, r.id)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(r.tokens))
	draw := byte(0)
	if r.draw {
		draw = 1
	}
	buffer = append(buffer, draw)
	return append(buffer, r.workspace...)
}

func decodeLoanRequest(data []byte) (loanRequest, error) {
	if len(data) < minLoanRequestLength || data[0] != formatLoanRequest {
		return loanRequest{}, errInvalidDatagram
	}
	r := loanRequest{
		id:        binary.BigEndian.Uint64(data[1:]),
		tokens:    int64(binary.BigEndian.Uint64(data[9:])),
		draw:      data[17] == 1,
		workspace: string(data[minLoanRequestLength:]),
	}
	if r.tokens < 0 {
		return loanRequest{}, errInvalidDatagram
	}
	return r, nil
}

// loanResponse tells how many tokens an ask brought. On the wire stand the format,
// the id of the ask and the tokens.
type loanResponse struct {
	id     uint64
	tokens int64
}

func (r loanResponse) append(buffer []byte) []byte {
	buffer = append(buffer, formatLoanResponse)
	buffer = binary.BigEndian.AppendUint64(buffer, r.id)
	return binary.BigEndian.AppendUint64(buffer, uint64(r.tokens))
}

func decodeLoanResponse(data []byte) (loanResponse, error) {
	if len(data) != loanResponseLength || data[0] != formatLoanResponse {
		return loanResponse{}, errInvalidDatagram
	}
	r := loanResponse{id: binary.BigEndian.Uint64(data[1:]), tokens: int64(binary.BigEndian.Uint64(data[9:]))}
	if r.tokens < 0 {
		return loanResponse{}, errInvalidDatagram
	}
	return r, nil
}

// pendingLoan is an ask of this entry without an answer yet.
type pendingLoan struct {
	lender    netip.AddrPort
	workspace string
	sent      time.Time
	answered  chan struct{}
}

// lentTokens is an answer of this entry, which a repeated ask gets again.
type lentTokens struct {
	tokens int64
	at     time.Time
}

// loans are the asks and answers of one entry. An ask that is repeated, or
// whose answer comes twice, moves its tokens once.
type loans struct {
	mu         sync.Mutex
	pending    map[uint64]*pendingLoan
	lentTokens map[uint64]lentTokens
}

// open notes an ask; false means that too many have no answer.
func (l *loans) open(id uint64, p *pendingLoan) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = make(map[uint64]*pendingLoan)
	}
	if len(l.pending) >= maxLoans {
		maps.DeleteFunc(l.pending, func(_ uint64, old *pendingLoan) bool { return p.sent.Sub(old.sent) > loanTTL })
	}
	if len(l.pending) >= maxLoans {
		return false
	}
	l.pending[id] = p
	return true
}

// close returns the ask that an answer belongs to, the first time.
func (l *loans) close(id uint64, from netip.AddrPort) *pendingLoan {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pending[id]
	if p == nil || p.lender != from {
		return nil
	}
	delete(l.pending, id)
	return p
}

// lendOnce returns the answer to an ask, which lend decides the first time. It
// gives nothing while too many asks are remembered.
func (l *loans) lendOnce(id uint64, now time.Time, lend func() int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lentTokens == nil {
		l.lentTokens = make(map[uint64]lentTokens)
	}
	known, found := l.lentTokens[id]
	if found {
		return known.tokens
	}
	if len(l.lentTokens) >= maxLoans {
		maps.DeleteFunc(l.lentTokens, func(_ uint64, old lentTokens) bool { return now.Sub(old.at) > loanTTL })
	}
	if len(l.lentTokens) >= maxLoans {
		return 0
	}
	tokens := lend()
	l.lentTokens[id] = lentTokens{tokens: tokens, at: now}
	return tokens
}

// Borrow asks the entry at lender for tokens and waits a short time for them.
// They come in through Tokens.TakeLoan, also when they come later.
// With draw the lender draws what it lacks.
func (g *Gossiper) Borrow(ctx context.Context, lender, workspace string, tokens int64, draw bool) {
	address, err := netip.ParseAddrPort(lender)
	if err != nil {
		g.Log.Warn("a lender's datagram address cannot be read", "address", lender)
		return
	}
	r := loanRequest{id: rand.Uint64(), tokens: tokens, draw: draw, workspace: workspace}
	p := &pendingLoan{lender: address, workspace: workspace, sent: time.Now(), answered: make(chan struct{})}
	if len(workspace) > maxNameLength || !g.loans.open(r.id, p) {
		return
	}
	data := r.append(nil)
	for range loanAttempts {
		g.send(data, address)
		select {
		case <-p.answered:
			return
		case <-time.After(loanResponseTimeout):
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gossiper) handleLoanRequest(data []byte, from netip.AddrPort) error {
	r, err := decodeLoanRequest(data)
	if err != nil || g.Tokens == nil {
		return err
	}
	tokens := g.loans.lendOnce(r.id, time.Now(), func() int64 { return g.Tokens.Lend(r.workspace, r.tokens, r.draw) })
	g.send(loanResponse{id: r.id, tokens: tokens}.append(nil), from)
	return nil
}

func (g *Gossiper) handleLoanResponse(data []byte, from netip.AddrPort) error {
	r, err := decodeLoanResponse(data)
	if err != nil || g.Tokens == nil {
		return err
	}
	p := g.loans.close(r.id, from)
	if p == nil {
		return nil
	}
	if r.tokens > 0 {
		g.Tokens.TakeLoan(from.String(), p.workspace, r.tokens)
	}
	close(p.answered)
	return nil
}

// RandomPeers returns the addresses of some other entries, chosen at random.
func (g *Gossiper) RandomPeers(count int) []string {
	peers := g.peerAddresses()
	var addresses []string
	for _, i := range rand.Perm(len(peers))[:min(count, len(peers))] {
		addresses = append(addresses, peers[i].String())
	}
	return addresses
}
