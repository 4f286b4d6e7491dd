package process

import (
	"math/rand/v2"

	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// bytesPerMegabit converts the bandwidth of the settings.
const bytesPerMegabit = 1e6 / 8

// newOverloadController returns the controller of an entry, or nil if its settings ask for
// none.
func newOverloadController(s *settings.Overload) *overload.Controller {
	if s == nil {
		return nil
	}
	return &overload.Controller{
		LinkBytesPerSecond: s.LinkMbps * bytesPerMegabit,
		Random:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}
