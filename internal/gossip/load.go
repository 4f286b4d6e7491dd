package gossip

import (
	"context"
	"encoding/binary"
	"math"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// loadInterval is the time between two exchanges of the loads of backend servers, and
	// loadPeers the number of random entries that are told of them: 80 datagrams a second
	// at any number of entries.
	loadInterval = 100 * time.Millisecond
	loadPeers    = 8
	// maxLoads bounds the loads in one datagram.
	maxLoads = 8
	// minLoadLength is the length of an encoded load without the server id.
	minLoadLength = 1 + 5*2
	// slowdownScale is the encoded value of a slowdown of 1.
	slowdownScale = 100
	maxUint16     = math.MaxUint16
)

// loadMessage tells of the latest loads that backend servers stated. It is encoded as the
// format and, for each load, the length and the bytes of the server id, the running and the
// waiting requests, the slots, the slowdown in percent (0 if none is stated) and the age in
// milliseconds. Numbers are big-endian and have two bytes; larger ones are sent as the largest.
type loadMessage []place.LoadReport

// append appends the encoded message to buffer. It leaves out loads that don't fit into a
// datagram.
func (m loadMessage) append(buffer []byte) []byte {
	buffer = append(buffer, formatLoads)
	for _, r := range m[:min(len(m), maxLoads)] {
		if len(r.Server) > maxNameLength || len(buffer)+minLoadLength+len(r.Server) > maxDatagramLength {
			continue
		}
		buffer = append(buffer, byte(len(r.Server)))
		buffer = append(buffer, r.Server...)
		for _, number := range []int64{int64(r.Load.Running), int64(r.Load.Waiting), int64(r.Load.Slots), int64(math.Round(min(r.Load.Slowdown, maxUint16) * slowdownScale)), r.Age.Milliseconds()} {
			buffer = binary.BigEndian.AppendUint16(buffer, uint16(min(maxUint16, max(0, number))))
		}
	}
	return buffer
}

// decodeLoads decodes a loadMessage or returns errInvalidDatagram.
func decodeLoads(data []byte) (loadMessage, error) {
	if len(data) == 0 || data[0] != formatLoads {
		return nil, errInvalidDatagram
	}
	var m loadMessage
	for data = data[1:]; len(data) > 0; {
		length := int(data[0])
		if len(m) == maxLoads || len(data) < minLoadLength+length {
			return nil, errInvalidDatagram
		}
		r := place.LoadReport{Server: string(data[1 : 1+length])}
		numbers := data[1+length:]
		number := func(i int) int { return int(binary.BigEndian.Uint16(numbers[2*i:])) }
		r.Load = place.Load{Running: number(0), Waiting: number(1), Slots: number(2), Slowdown: float64(number(3)) / slowdownScale}
		r.Age = time.Duration(number(4)) * time.Millisecond
		m = append(m, r)
		data = data[minLoadLength+length:]
	}
	return m, nil
}

// loadLoop sends the latest loads to a few random peers until ctx ends. Where no upstream is
// placed adaptively, there are none to send.
func (g *Gossiper) loadLoop(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	var buffer []byte
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		loads := g.Fleet.FreshLoads(maxLoads, time.Now())
		if len(loads) == 0 {
			continue
		}
		buffer = loadMessage(loads).append(buffer[:0])
		for _, peer := range g.randomPeers(loadPeers) {
			if g.trySend(buffer, peer) {
				g.loadsSent.Add(1)
			}
		}
	}
}

// handleLoads records the loads that servers stated to other entries.
func (g *Gossiper) handleLoads(data []byte) error {
	m, err := decodeLoads(data)
	if err != nil {
		return err
	}
	g.loadsReceived.Add(1)
	now := time.Now()
	for _, r := range m {
		g.Fleet.RecordRemoteLoad(r, now)
	}
	return nil
}
