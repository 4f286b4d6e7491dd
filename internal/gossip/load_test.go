package gossip

import (
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

// Entries that read another load than was told would choose servers by wrong estimates.
func TestLoadMessageRoundTrip(t *testing.T) {
	m := loadMessage{
		{Server: "i-7f3a", Load: place.Load{Running: 30, Waiting: 2, Slots: 32, Slowdown: 2.5}, Age: 120 * time.Millisecond},
		{Server: "i-2", Load: place.Load{Slots: 6}},
	}
	got, err := decodeLoads(m.append(nil))
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("decoded %+v with error %v, want the encoded message", got, err)
	}
}

// Long ids must not make a datagram longer than the receiver's buffer, and values out of
// range must not wrap around.
func TestLoadMessageIsBounded(t *testing.T) {
	var m loadMessage
	for range 2 * maxLoads {
		m = append(m, place.LoadReport{Server: strings.Repeat("i", 200), Load: place.Load{Running: 1 << 20, Waiting: -1, Slowdown: 1e9}, Age: time.Hour})
	}
	data := m.append(nil)
	got, err := decodeLoads(data)
	if err != nil || len(data) > maxDatagramLength || len(got) == 0 {
		t.Fatalf("%d bytes with %d loads and error %v", len(data), len(got), err)
	}
	if got[0].Load.Running != maxUint16 || got[0].Load.Waiting != 0 || got[0].Load.Slowdown < 600 || got[0].Age < time.Minute {
		t.Errorf("decoded %+v, want the bounds", got[0])
	}
}

// Any datagram that can be decoded must encode to the same message, and no datagram may cause
// a panic.
func FuzzDecodeLoads(f *testing.F) {
	f.Add(loadMessage{{Server: "i", Load: place.Load{Running: 1, Slots: 2, Slowdown: 1}, Age: time.Millisecond}}.append(nil))
	f.Add([]byte{formatLoads, 4, 'a'})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeLoads(data)
		if err != nil {
			return
		}
		encoded := m.append(nil)
		again, err := decodeLoads(encoded)
		if err != nil || len(encoded) < maxDatagramLength/2 && !reflect.DeepEqual(again, m) {
			t.Errorf("%+v was decoded as %+v with error %v after encoding", m, again, err)
		}
	})
}

// A load that one entry was told of must reach others, with its age, and a datagram of a
// stranger must not change the choice of servers.
func TestLoadsReachOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender, receiver := newLoadEntry("10.0.0.1:7"), newLoadEntry("10.0.0.2:7")
		receiver.SetPeers([]string{sender.Address})
		stated := place.LoadReport{Server: "s1", Load: place.Load{Running: 5, Waiting: 1, Slots: 8, Slowdown: 2}}
		sender.Fleet.RecordRemoteLoad(stated, time.Now())
		time.Sleep(100 * time.Millisecond)
		datagram := loadMessage(sender.Fleet.FreshLoads(maxLoads, time.Now())).append(nil)
		err := receiver.receive(datagram, netip.MustParseAddrPort("10.0.0.3:7"))
		if err == nil || len(receiver.Fleet.FreshLoads(maxLoads, time.Now())) != 0 {
			t.Error("a stranger's datagram was accepted")
		}
		err = receiver.receive(datagram, netip.MustParseAddrPort(sender.Address))
		got := receiver.Fleet.FreshLoads(maxLoads, time.Now())
		if err != nil || len(got) != 1 || got[0].Load != stated.Load || got[0].Age != 100*time.Millisecond {
			t.Errorf("got %+v with error %v, want the load that was stated 100 ms ago", got, err)
		}
		if counted := receiver.Counts().LoadsReceived; counted != 1 {
			t.Errorf("%d datagrams with loads counted, want the one that was accepted", counted)
		}
		time.Sleep(time.Second)
		if got := receiver.Fleet.FreshLoads(maxLoads, time.Now()); len(got) != 0 {
			t.Errorf("%+v is told again after a second, want nothing", got)
		}
	})
}

func newLoadEntry(address string) *Gossiper {
	g := &Gossiper{Address: address, Fleet: &place.Fleet{}}
	g.Fleet.Update([]instances.Instance{{ID: "s1", Upstream: "pool", Address: "a", Slots: 8}}, time.Now())
	return g
}
