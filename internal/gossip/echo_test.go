package gossip

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/place"
)

// startEchoPeers starts count entries on loopback that know each other. The first without of
// them measure nothing.
func startEchoPeers(t *testing.T, count, without int) []*Gossiper {
	t.Helper()
	return startEchoPeersWith(t, count, func(i int, g *Gossiper) {
		if i >= without {
			g.Overload = &overload.Controller{Random: rand.New(rand.NewPCG(uint64(i), 0))}
		}
	})
}

// startEchoPeersWith starts count entries, each after a call of configure.
func startEchoPeersWith(t *testing.T, count int, configure func(int, *Gossiper)) []*Gossiper {
	t.Helper()
	var entries []*Gossiper
	var addresses []string
	for i := range count {
		socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g := &Gossiper{Address: socket.LocalAddr().String(), Fleet: &place.Fleet{}, Log: log.New(io.Discard)}
		_ = socket.Close()
		configure(i, g)
		err = g.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Close)
		entries = append(entries, g)
		addresses = append(addresses, g.Address)
	}
	for _, g := range entries {
		g.SetPeers(addresses)
	}
	return entries
}

// TestEchoesMeasureTheDelay guards against echoes that are not sent, answered or recorded, and
// against entries without a controller that send or answer any.
func TestEchoesMeasureTheDelay(t *testing.T) {
	entries := startEchoPeers(t, 6, 1)
	deadline := time.Now().Add(10 * time.Second)
	for {
		status := entries[1].Overload.Status(time.Now())
		if status.Known && entries[1].prober.Minimum() > 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no delay is known after 10 s: %+v", status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if sent := entries[0].Counts().Sent; sent != 0 {
		t.Errorf("an entry without a controller sent %d datagrams, want none", sent)
	}
}

// TestEchoesAreSentOnlyWhileTheDelayIsMeasured guards against entries that send echoes where
// nothing asks for their delay, and against ones that never begin to.
func TestEchoesAreSentOnlyWhileTheDelayIsMeasured(t *testing.T) {
	var measures atomic.Bool
	entries := startEchoPeersWith(t, 4, func(i int, g *Gossiper) {
		g.Overload = &overload.Controller{Random: rand.New(rand.NewPCG(uint64(i), 0))}
		g.Measures = measures.Load
	})
	time.Sleep(200 * time.Millisecond)
	if sent := entries[0].Counts().Sent; sent != 0 {
		t.Errorf("%d datagrams were sent while no delay is measured, want none", sent)
	}
	measures.Store(true)
	deadline := time.Now().Add(10 * time.Second)
	for !entries[0].Overload.Status(time.Now()).Known {
		if time.Now().After(deadline) {
			t.Fatal("no delay is known 10 s after it is to be measured")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestEchoAnswerCoding guards against times that an answer does not carry, and against
// answers of later builds that this one refuses.
func TestEchoAnswerCoding(t *testing.T) {
	for _, want := range []echoAnswer{
		{id: 1},
		{id: 1 << 63, delay: 0, delayKnown: true},
		{id: 7, delay: 400 * time.Millisecond, delayKnown: true, minimum: 2 * time.Millisecond},
		{id: 8, utilizationKnown: true},
		{id: 9, utilizationKnown: true, utilization: 0.93, peersDiverting: 0.13, diverting: true},
	} {
		got, err := decodeEchoAnswer(append(want.append(nil), 1, 2, 3))
		if err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
	got, _ := decodeEchoAnswer(echoAnswer{delay: time.Hour, delayKnown: true, minimum: time.Microsecond}.append(nil))
	if !got.delayKnown || got.delay != 254*echoDelayUnit || got.minimum != echoMinimumUnit {
		t.Errorf("an hour and a microsecond became %+v", got)
	}
	got, _ = decodeEchoAnswer(echoAnswer{utilizationKnown: true, utilization: 9, peersDiverting: 1}.append(nil))
	if !got.utilizationKnown || got.utilization != maxEchoPercent/100.0 || got.peersDiverting != 1 {
		t.Errorf("a utilization of 9 became %+v", got)
	}
	for length := range minEchoAnswerLength {
		if _, err := decodeEchoAnswer(shortAnswer(length)); err == nil {
			t.Errorf("an answer of %d bytes was accepted", length)
		}
	}
}

// TestEchoAnswersOfOlderBuilds guards against answers without the later bytes that are refused or
// read as statements, and against later bytes that change what older builds read.
func TestEchoAnswersOfOlderBuilds(t *testing.T) {
	answer := echoAnswer{id: 7, delay: 40 * time.Millisecond, delayKnown: true, utilizationKnown: true, utilization: 0.5, diverting: true}.append(nil)
	got, err := decodeEchoAnswer(answer[:minEchoAnswerLength])
	if want := (echoAnswer{id: 7, delay: 40 * time.Millisecond, delayKnown: true}); err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if answer[0] != formatEchoAnswer || binary.BigEndian.Uint64(answer[1:]) != 7 || answer[9] != 10 || answer[10] != unknownEchoTime {
		t.Errorf("older builds read other values from %v", answer)
	}
}

// TestEchoesStateDiversions guards against entries that don't hear which of their peers are busy
// or divert, and against an answer to an entry that may not divert that misleads it.
func TestEchoesStateDiversions(t *testing.T) {
	entries := startEchoPeersWith(t, 5, func(i int, g *Gossiper) {
		g.Overload = &overload.Controller{Random: rand.New(rand.NewPCG(uint64(i), 0))}
		if i != 4 {
			g.Diverter = overload.NewDiverter(1e6)
		}
	})
	deadline := time.Now().Add(10 * time.Second)
	for {
		state, _ := entries[0].Diverter.Step(time.Now(), overload.Traffic{}, overload.Status{Target: time.Second})
		if state.Peers == 4 && state.PeersHaveRoom {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no room of 4 peers is known after 10 s: %+v", state)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func shortAnswer(length int) []byte {
	return echoAnswer{id: 5}.append(nil)[:length]
}

// TestEchoRequestsOfStrangersAreDropped guards against an entry that answers anyone, and
// against a request that is too short.
func TestEchoRequestsOfStrangersAreDropped(t *testing.T) {
	entries := startEchoPeers(t, 2, 0)
	stranger, err := net.Dial("udp4", entries[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stranger.Close() }()
	_, _ = stranger.Write(binary.BigEndian.AppendUint64([]byte{formatEchoRequest}, 3))
	_ = stranger.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := stranger.Read(make([]byte, 64)); err == nil {
		t.Errorf("a stranger got %d bytes", n)
	}
	err = entries[0].receive([]byte{formatEchoRequest, 1}, entries[1].peerAddresses()[0])
	if err == nil {
		t.Error("a request of 2 bytes was accepted")
	}
}
