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
	// answerWait is above the way to another failure domain and back.
	answerWait = 25 * time.Millisecond
	// asks is how often one lender is asked before it counts as silent.
	asks = 2
	// loanMemory is how long a lender repeats its answer to an ask, and a
	// borrower takes a late one in.
	loanMemory = 5 * time.Second
	// maxLoans bounds the asks that are remembered on either side.
	maxLoans = 4096

	askLength    = 1 + 8 + 8 + 1
	answerLength = 1 + 8 + 8
)

// Tokens are the holdings of this entry.
type Tokens interface {
	// Lend gives tokens away for good and returns how many. With draw it draws
	// what it lacks, for a borrower that cannot and will ask again.
	Lend(workspace string, asked int64, draw bool) int64
	// TakeLoan takes in what another entry gave.
	TakeLoan(lender, workspace string, tokens int64)
}

// ask asks for tokens of a workspace. On the wire stand the format, the id, the
// tokens, whether the lender should draw, and the workspace's name.
type ask struct {
	id        uint64
	tokens    int64
	draw      bool
	workspace string
}

func (a ask) append(buffer []byte) []byte {
	buffer = append(buffer, formatAsk)
	buffer = binary.BigEndian.AppendUint64(buffer, a.id)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(a.tokens))
	draw := byte(0)
	if a.draw {
		draw = 1
	}
	buffer = append(buffer, draw)
	return append(buffer, a.workspace...)
}

func decodeAsk(data []byte) (ask, error) {
	if len(data) < askLength || data[0] != formatAsk {
		return ask{}, errMessage
	}
	a := ask{
		id:        binary.BigEndian.Uint64(data[1:]),
		tokens:    int64(binary.BigEndian.Uint64(data[9:])),
		draw:      data[17] == 1,
		workspace: string(data[askLength:]),
	}
	if a.tokens < 0 {
		return ask{}, errMessage
	}
	return a, nil
}

// answer tells how many tokens an ask brought. On the wire stand the format,
// the id of the ask and the tokens.
type answer struct {
	id     uint64
	tokens int64
}

func (a answer) append(buffer []byte) []byte {
	buffer = append(buffer, formatAnswer)
	buffer = binary.BigEndian.AppendUint64(buffer, a.id)
	return binary.BigEndian.AppendUint64(buffer, uint64(a.tokens))
}

func decodeAnswer(data []byte) (answer, error) {
	if len(data) != answerLength || data[0] != formatAnswer {
		return answer{}, errMessage
	}
	a := answer{id: binary.BigEndian.Uint64(data[1:]), tokens: int64(binary.BigEndian.Uint64(data[9:]))}
	if a.tokens < 0 {
		return answer{}, errMessage
	}
	return a, nil
}

// pendingAsk is an ask of this entry without an answer yet.
type pendingAsk struct {
	lender    netip.AddrPort
	workspace string
	sent      time.Time
	answered  chan struct{}
}

// given is an answer of this entry, which a repeated ask gets again.
type given struct {
	tokens int64
	at     time.Time
}

// loans are the asks and answers of one entry. An ask that is repeated, or
// whose answer comes twice, moves its tokens once.
type loans struct {
	mu      sync.Mutex
	pending map[uint64]*pendingAsk
	given   map[uint64]given
}

// open notes an ask; false means that too many have no answer.
func (l *loans) open(id uint64, p *pendingAsk) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = make(map[uint64]*pendingAsk)
	}
	if len(l.pending) >= maxLoans {
		maps.DeleteFunc(l.pending, func(_ uint64, old *pendingAsk) bool { return p.sent.Sub(old.sent) > loanMemory })
	}
	if len(l.pending) >= maxLoans {
		return false
	}
	l.pending[id] = p
	return true
}

// close returns the ask that an answer belongs to, the first time.
func (l *loans) close(id uint64, from netip.AddrPort) *pendingAsk {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pending[id]
	if p == nil || p.lender != from {
		return nil
	}
	delete(l.pending, id)
	return p
}

// give returns the answer to an ask, which lend decides the first time. It
// gives nothing while too many asks are remembered.
func (l *loans) give(id uint64, now time.Time, lend func() int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.given == nil {
		l.given = make(map[uint64]given)
	}
	known, found := l.given[id]
	if found {
		return known.tokens
	}
	if len(l.given) >= maxLoans {
		maps.DeleteFunc(l.given, func(_ uint64, old given) bool { return now.Sub(old.at) > loanMemory })
	}
	if len(l.given) >= maxLoans {
		return 0
	}
	tokens := lend()
	l.given[id] = given{tokens: tokens, at: now}
	return tokens
}

// Borrow asks the entry at lender for tokens and waits a short time for them.
// They come in through Tokens.TakeLoan, also when they come later.
// With draw the lender draws what it lacks.
func (s *Spreader) Borrow(ctx context.Context, lender, workspace string, tokens int64, draw bool) {
	address, err := netip.ParseAddrPort(lender)
	if err != nil {
		s.Log.Warn("a lender's datagram address cannot be read", "address", lender)
		return
	}
	a := ask{id: rand.Uint64(), tokens: tokens, draw: draw, workspace: workspace}
	p := &pendingAsk{lender: address, workspace: workspace, sent: time.Now(), answered: make(chan struct{})}
	if len(workspace) > maxName || !s.loans.open(a.id, p) {
		return
	}
	data := a.append(nil)
	for range asks {
		s.send(data, address)
		select {
		case <-p.answered:
			return
		case <-time.After(answerWait):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Spreader) serveAsk(data []byte, from netip.AddrPort) error {
	a, err := decodeAsk(data)
	if err != nil || s.Tokens == nil {
		return err
	}
	tokens := s.loans.give(a.id, time.Now(), func() int64 { return s.Tokens.Lend(a.workspace, a.tokens, a.draw) })
	s.send(answer{id: a.id, tokens: tokens}.append(nil), from)
	return nil
}

func (s *Spreader) takeAnswer(data []byte, from netip.AddrPort) error {
	a, err := decodeAnswer(data)
	if err != nil || s.Tokens == nil {
		return err
	}
	p := s.loans.close(a.id, from)
	if p == nil {
		return nil
	}
	if a.tokens > 0 {
		s.Tokens.TakeLoan(from.String(), p.workspace, a.tokens)
	}
	close(p.answered)
	return nil
}

// Others returns the addresses of some other entries, chosen at random.
func (s *Spreader) Others(count int) []string {
	peers := s.others()
	var addresses []string
	for _, i := range rand.Perm(len(peers))[:min(count, len(peers))] {
		addresses = append(addresses, peers[i].String())
	}
	return addresses
}
