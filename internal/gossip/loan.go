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
	// loanResponseTimeout is how long a borrower waits for the response to one
	// attempt. It exceeds the round trip to another failure domain.
	loanResponseTimeout = 25 * time.Millisecond
	// loanAttempts is how often a loan request is sent to one lender without a
	// response.
	loanAttempts = 2
	// loanTTL is how long a lender repeats its response to a loan request, and
	// how long a borrower accepts a late response.
	loanTTL = 5 * time.Second
	// maxLoans bounds the loan requests that a lender or a borrower remembers.
	maxLoans = 4096

	// minLoanRequestLength is the length of an encoded loanRequest without the
	// workspace name.
	minLoanRequestLength = 1 + 8 + 8 + 1
	loanResponseLength   = 1 + 8 + 8
)

// Tokens holds the tokens granted to this entry.
type Tokens interface {
	// Lend permanently transfers at most requested tokens of a workspace to
	// another entry and returns how many. With draw, it also starts to draw the
	// missing tokens, for a borrower that can't draw itself and will repeat its
	// request.
	Lend(workspace string, requested int64, draw bool) int64
	// TakeLoan adds tokens that the entry at the address lender has lent.
	TakeLoan(lender, workspace string, tokens int64)
}

// loanRequest requests tokens of a workspace from a lender. It is encoded as the
// format, the id, the number of tokens, a byte that is 1 if the lender should
// draw missing tokens, and the workspace name. Numbers are big-endian.
type loanRequest struct {
	id        uint64
	tokens    int64
	draw      bool
	workspace string
}

// append appends the encoded message to buffer.
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

// decodeLoanRequest decodes a loanRequest or returns errInvalidDatagram.
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

// loanResponse states how many tokens were lent. It is encoded as the format,
// the id of the request and the number of tokens. Numbers are big-endian.
type loanResponse struct {
	id     uint64
	tokens int64
}

// append appends the encoded message to buffer.
func (r loanResponse) append(buffer []byte) []byte {
	buffer = append(buffer, formatLoanResponse)
	buffer = binary.BigEndian.AppendUint64(buffer, r.id)
	return binary.BigEndian.AppendUint64(buffer, uint64(r.tokens))
}

// decodeLoanResponse decodes a loanResponse or returns errInvalidDatagram.
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

// pendingLoan is a loan request of this entry that has no response yet.
type pendingLoan struct {
	lender    netip.AddrPort
	workspace string
	sent      time.Time
	responded chan struct{}
}

// lentTokens is this entry's response to a loan request. It is stored so that a
// repeated request gets the same response.
type lentTokens struct {
	tokens int64
	at     time.Time
}

// loans tracks the loan requests that an entry sent and received. It makes sure
// that repeated requests and responses move tokens only once.
type loans struct {
	mu         sync.Mutex
	pending    map[uint64]*pendingLoan
	lentTokens map[uint64]lentTokens
}

// open records a sent loan request. It returns false if too many requests await
// a response.
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

// close removes and returns the request that a response from the given address
// belongs to. It returns nil for an unknown or repeated response.
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

// lendOnce returns the response to a loan request and calls lend only for the
// first request with this id. It returns 0 while too many requests are
// remembered, because a repeated request could not be recognized.
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

// Borrow requests tokens of a workspace from the entry at the address lender
// and waits for the response for a short time. The tokens are passed to
// Tokens.TakeLoan, also if the response arrives after Borrow has returned. With
// draw, the lender draws the tokens that it lacks.
func (g *Gossiper) Borrow(ctx context.Context, lender, workspace string, tokens int64, draw bool) {
	address, err := netip.ParseAddrPort(lender)
	if err != nil {
		g.Log.Warn("the datagram address of a lender is invalid", "address", lender)
		return
	}
	r := loanRequest{id: rand.Uint64(), tokens: tokens, draw: draw, workspace: workspace}
	p := &pendingLoan{lender: address, workspace: workspace, sent: time.Now(), responded: make(chan struct{})}
	if len(workspace) > maxNameLength || !g.loans.open(r.id, p) {
		return
	}
	data := r.append(nil)
	for range loanAttempts {
		g.send(data, address)
		select {
		case <-p.responded:
			return
		case <-time.After(loanResponseTimeout):
		case <-ctx.Done():
			return
		}
	}
}

// handleLoanRequest lends tokens and sends the response.
func (g *Gossiper) handleLoanRequest(data []byte, from netip.AddrPort) error {
	r, err := decodeLoanRequest(data)
	if err != nil || g.Tokens == nil {
		return err
	}
	tokens := g.loans.lendOnce(r.id, time.Now(), func() int64 { return g.Tokens.Lend(r.workspace, r.tokens, r.draw) })
	g.send(loanResponse{id: r.id, tokens: tokens}.append(nil), from)
	return nil
}

// handleLoanResponse adds the tokens of a response to a pending request.
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
	close(p.responded)
	return nil
}

// RandomPeers returns the addresses of up to count peers in random order.
func (g *Gossiper) RandomPeers(count int) []string {
	var addresses []string
	for _, peer := range g.randomPeers(count) {
		addresses = append(addresses, peer.String())
	}
	return addresses
}
