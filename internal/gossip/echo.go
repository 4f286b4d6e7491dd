package gossip

import (
	"context"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cactusbay/cactusbay/internal/overload"
)

const (
	echoRequestLength = 1 + 8
	// minEchoAnswerLength is that of an answer of the first build that answers. Later ones
	// add bytes; echoAnswerLength is that of this build.
	minEchoAnswerLength = 1 + 8 + 1 + 1
	echoAnswerLength    = minEchoAnswerLength + 3
	// echoDelayUnit and echoMinimumUnit are the units of the two times of an answer.
	echoDelayUnit   = 4 * time.Millisecond
	echoMinimumUnit = 2 * time.Millisecond
	// unknownEchoTime is the encoded time of an entry that has measured nothing.
	unknownEchoTime = math.MaxUint8
	// unknownEchoPercent is the encoded utilization of an entry that does not measure it, and
	// maxEchoPercent the highest one that is encoded.
	unknownEchoPercent = math.MaxUint8
	maxEchoPercent     = math.MaxUint8 - 1
	// idleEchoInterval is the time between two looks at whether the delay is to be measured.
	idleEchoInterval = time.Second
	// echoFlagDiverting is set while the answering entry diverts.
	echoFlagDiverting = 1
)

// An echo request is encoded as the format and an identifier. The answer is encoded as the
// format, the identifier, and of the answering entry its queueing delay and the usual
// minimum of its round-trip times, in units of echoDelayUnit and echoMinimumUnit. Three bytes
// follow that older builds neither send nor read: the utilization of the entry's link in
// percent, flags, and the percentage of its peers that divert. Numbers are big-endian.

// echoAnswer is what an entry answers to an echo request.
type echoAnswer struct {
	id uint64
	// delay is the queueing delay, if delayKnown is set.
	delay      time.Duration
	delayKnown bool
	// minimum is the usual minimum of round-trip times; 0 if unknown.
	minimum time.Duration
	// The rest is known if utilizationKnown is set. Shares have a resolution of a hundredth.
	utilizationKnown            bool
	utilization, peersDiverting float64
	diverting                   bool
}

// append appends the encoded answer to buffer.
func (a echoAnswer) append(buffer []byte) []byte {
	delay, minimum := byte(unknownEchoTime), byte(unknownEchoTime)
	if a.delayKnown {
		delay = byte(min(unknownEchoTime-1, a.delay/echoDelayUnit))
	}
	if a.minimum > 0 {
		// Rounded up, because a minimum below the unit would be encoded as none.
		minimum = byte(min(unknownEchoTime-1, (a.minimum+echoMinimumUnit-1)/echoMinimumUnit))
	}
	buffer = binary.BigEndian.AppendUint64(append(buffer, formatEchoAnswer), a.id)
	utilization, flags, peersDiverting := byte(unknownEchoPercent), byte(0), byte(0)
	if a.utilizationKnown {
		utilization, peersDiverting = percent(a.utilization), percent(a.peersDiverting)
	}
	if a.diverting {
		flags |= echoFlagDiverting
	}
	return append(buffer, delay, minimum, utilization, flags, peersDiverting)
}

// percent returns a share in percent, as far as it can be encoded.
func percent(share float64) byte {
	return byte(min(maxEchoPercent, math.Round(100*share)))
}

// decodeEchoAnswer decodes an echoAnswer or returns errInvalidDatagram.
func decodeEchoAnswer(data []byte) (echoAnswer, error) {
	if len(data) < minEchoAnswerLength || data[0] != formatEchoAnswer {
		return echoAnswer{}, errInvalidDatagram
	}
	a := echoAnswer{id: binary.BigEndian.Uint64(data[1:])}
	if data[9] != unknownEchoTime {
		a.delay, a.delayKnown = time.Duration(data[9])*echoDelayUnit, true
	}
	if data[10] != unknownEchoTime {
		a.minimum = time.Duration(data[10]) * echoMinimumUnit
	}
	if len(data) >= echoAnswerLength && data[11] != unknownEchoPercent {
		a.utilizationKnown = true
		a.utilization, a.peersDiverting = float64(data[11])/100, float64(data[13])/100
		a.diverting = data[12]&echoFlagDiverting != 0
	}
	return a, nil
}

// startEchoes starts to probe peers if the entry has a controller.
func (g *Gossiper) startEchoes(ctx context.Context) {
	if g.Overload == nil {
		return
	}
	g.prober.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g.done.Go(func() { g.echoLoop(ctx) })
}

// echoLoop probes one peer every overload.ProbeInterval, while the delay is to be measured,
// until ctx ends.
func (g *Gossiper) echoLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var buffer []byte
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if !g.measures() {
			timer.Reset(idleEchoInterval)
			continue
		}
		timer.Reset(overload.ProbeInterval)
		for _, sample := range g.prober.Expire(time.Now()) {
			g.Overload.RecordEcho(time.Now(), sample)
		}
		probe, ok := g.prober.Next(time.Now(), g.peerAddresses())
		if !ok {
			continue
		}
		buffer = binary.BigEndian.AppendUint64(append(buffer[:0], formatEchoRequest), probe.ID)
		g.trySend(buffer, probe.Peer)
	}
}

// measures reports whether the delay is to be measured now.
func (g *Gossiper) measures() bool {
	return g.Measures == nil || g.Measures()
}

// handleEchoRequest answers a peer at once. An entry without a controller does not answer,
// like an older build.
func (g *Gossiper) handleEchoRequest(data []byte, from netip.AddrPort) error {
	if len(data) < echoRequestLength {
		return errInvalidDatagram
	}
	if g.Overload == nil {
		return nil
	}
	status := g.Overload.Status(time.Now())
	answer := echoAnswer{
		id:         binary.BigEndian.Uint64(data[1:]),
		delay:      status.Delay,
		delayKnown: status.Known,
		minimum:    g.prober.Minimum(),
	}
	if g.Diverter != nil {
		state := g.Diverter.Status()
		answer.utilizationKnown, answer.utilization = true, state.Utilization.Highest()
		answer.diverting, answer.peersDiverting = state.Diverting, state.OwnPeersDiverting
	}
	g.trySend(answer.append(nil), from)
	return nil
}

// handleEchoAnswer passes what an echo has shown to the controller.
func (g *Gossiper) handleEchoAnswer(data []byte, from netip.AddrPort) error {
	answer, err := decodeEchoAnswer(data)
	if err != nil || g.Overload == nil {
		return err
	}
	now := time.Now()
	sample, ok := g.prober.Echo(now, answer.id, from, answer.minimum)
	if ok {
		g.Overload.RecordEcho(now, sample)
	}
	if answer.delayKnown {
		g.Overload.RecordPeer(now, from.String(), answer.delay)
	}
	if g.Diverter != nil {
		g.Diverter.RecordPeer(now, from.String(), overload.PeerState{
			Delay: answer.delay, DelayKnown: answer.delayKnown,
			Utilization: answer.utilization, UtilizationKnown: answer.utilizationKnown,
			Diverting: answer.diverting, PeersDiverting: answer.peersDiverting,
		})
	}
	return nil
}
