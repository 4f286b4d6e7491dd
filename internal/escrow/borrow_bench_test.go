package escrow_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/group"
)

// failingGroup fails every exchange at once.
type failingGroup struct{}

func (failingGroup) Exchange(context.Context, *group.Exchange) (map[string]group.ExchangeResult, error) {
	return nil, errors.New("unreachable")
}

// BenchmarkFailedRound measures a borrowing round in which nobody lends, without the
// datagrams: the most that a round costs a borrower, at any number of entries.
func BenchmarkFailedRound(b *testing.B) {
	peers := make([]string, 200)
	for i := range peers {
		peers[i] = fmt.Sprintf("10.0.0.%d:7", i)
	}
	h := &escrow.Holder{
		Exchanger:   failingGroup{},
		Log:         log.New(io.Discard),
		Epoch:       "one",
		Borrow:      func(context.Context, string, string, int64, bool) {},
		RandomPeers: func(count int) []string { return peers[:min(count, len(peers))] },
	}
	h.Start()
	defer h.Close()
	_, _ = h.Reserve(b.Context(), "first", 1000)
	for b.Loop() {
		// Another workspace each time, because rounds that failed keep the next one waiting.
		workspace := fmt.Sprint(b.Elapsed())
		if _, err := h.Reserve(b.Context(), workspace, 1000); err == nil {
			b.Fatal("reserved tokens that nobody has")
		}
	}
}
