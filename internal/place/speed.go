package place

import (
	"math"
	"time"
)

const (
	// upstreamPaceGain and serverPaceGain are the parts of a deviation that one response
	// adds to the pace of the upstream and of the server.
	upstreamPaceGain = 0.05
	serverPaceGain   = 0.25
	// firstPaceGain is the upstream's gain at the first response; it falls with each one,
	// so that entries that just started soon know the speed of the engines.
	firstPaceGain = 0.5
	// maxPaceStep bounds the deviation that one response shows: a factor of 2.
	maxPaceStep = math.Ln2
	// minMeasuredPrefill is the shortest prompt that measures a speed; shorter ones measure
	// the network.
	minMeasuredPrefill = 5 * time.Millisecond
)

// minPace and maxPace bound the learned time for a prompt to between a quarter and eight
// times that of engineSpeed.
var (
	minPace = math.Log(0.25)
	maxPace = math.Log(8)
)

// pace is how much slower than expected engines are: the logarithm of the factor on the
// time for a prompt. Its zero value is the expected speed.
type pace struct {
	log     float64
	samples int
}

// paceFactor returns the factor on the time that engineSpeed gives for a prompt at s.
func (u *upstreamState) paceFactor(s *server) float64 {
	return math.Exp(min(maxPace, max(minPace, u.pace.log+s.pace.log)))
}

// recordPrefill records that the server needed the measured time for a prompt, after an
// expected wait, for which engineSpeed gives usual.
func (u *upstreamState) recordPrefill(s *server, measured, wait, usual time.Duration) {
	if usual < minMeasuredPrefill {
		return
	}
	own := max(measured-wait, usual/64)
	deviation := math.Log(float64(own)/float64(usual)) - u.pace.log - s.pace.log
	deviation = min(maxPaceStep, max(-maxPaceStep, deviation))
	// After a long wait most of the deviation is an error in the expected wait.
	deviation *= float64(usual) / float64(usual+wait)
	u.pace.add(deviation, max(upstreamPaceGain, firstPaceGain/float64(u.pace.samples+1)))
	s.pace.add(deviation, serverPaceGain)
}

// add moves the pace by a part of a deviation.
func (p *pace) add(deviation, gain float64) {
	p.log = min(maxPace, max(minPace, p.log+float64(gain*deviation)))
	p.samples++
}
