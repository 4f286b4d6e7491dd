package process

import (
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// TestOverloadGauges guards against gauges that are missing where overload is off, and that
// show an unmeasured delay like none.
func TestOverloadGauges(t *testing.T) {
	measured := newOverloadController(&settings.Overload{LinkMbps: 10, MemoryMB: 184}, true)
	for range 4 {
		measured.RecordEcho(time.Now(), overload.Sample{Delay: 250 * time.Millisecond})
	}
	for _, c := range []struct {
		controller          *overload.Controller
		delay, target, room float64
	}{
		{nil, 0, 0, 0},
		{newOverloadController(&settings.Overload{LinkMbps: 10, MemoryMB: 184}, true), -1, 0.125, 1},
		{measured, 0.25, 0.125, 1},
	} {
		scope := tally.NewTestScope("", nil)
		m := &meter{scope: scope}
		m.setOverload(c.controller)
		gauges := make(map[string]float64)
		for _, gauge := range scope.Snapshot().Gauges() {
			gauges[gauge.Name()] = gauge.Value()
		}
		want := map[string]float64{"queueing_delay_seconds": c.delay, "queueing_delay_target_seconds": c.target, "shedding_level": 0, "peers_with_room": c.room}
		if !maps.Equal(gauges, want) {
			t.Errorf("got gauges %v, want %v", gauges, want)
		}
	}
}

// TestCallersCountTowardsTheLimit guards against descriptors of callers that are not counted,
// or counted after they are closed: the entry would run out of them, or refuse for ever.
func TestCallersCountTowardsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = overload.DescriptorLimit(128)
		g := &Gateway{Server: &forward.Server{Upstream: &upstream.Client{}}, connections: &connectionGroup{}}
		g.limitConnections(limit)
		var network fake.Network
		l, err := listen(network.Host("entry"), "entry:1", http.NotFoundHandler(), listenOptions{group: g.connections})
		if err != nil {
			t.Fatal(err)
		}
		defer l.close()
		var closers []func() error
		for range 70 {
			conn, err := network.Host("caller").DialContext(t.Context(), "tcp", "entry:1")
			if err != nil {
				t.Fatal(err)
			}
			closers = append(closers, conn.Close)
		}
		time.Sleep(time.Second)
		if g.connectionsInUse() != 70 || g.Server.HasDescriptors() || g.Server.Upstream.MaxIdle() != 26 {
			t.Errorf("with 70 callers: %d in use, room %t, %d idle connections allowed; want 70, false and 26", g.connectionsInUse(), g.Server.HasDescriptors(), g.Server.Upstream.MaxIdle())
		}
		for _, closeConn := range closers {
			_ = closeConn()
		}
		time.Sleep(time.Second)
		if g.connectionsInUse() != 0 || !g.Server.HasDescriptors() {
			t.Errorf("after the callers have left: %d in use, room %t; want 0 and true", g.connectionsInUse(), g.Server.HasDescriptors())
		}
	})
}

// TestMemoryGauges guards against bounds that are not those of the settings, and against gauges
// that show bounds where there are none.
func TestMemoryGauges(t *testing.T) {
	account := &memory.Account{Bounds: memory.BoundsOf(96)}
	if !account.Request("c").TryGrow(100) || account.Response("c").Grow(t.Context(), 20) != nil {
		t.Fatal("no memory")
	}
	for _, c := range []struct {
		account *memory.Account
		want    map[string]float64
	}{
		{nil, map[string]float64{"body_bytes_held": 0, "request_body_bytes_held": 0, "responses_waiting_for_memory": 0, "caller_body_bytes_highest": 0, "caller_body_bytes_limit": 0, "server_body_bytes_highest": 0, "server_body_bytes_limit": 0, "body_bytes_limit": 0, "request_body_bytes_limit": 0}},
		{account, map[string]float64{"body_bytes_held": 120, "request_body_bytes_held": 100, "responses_waiting_for_memory": 0, "caller_body_bytes_highest": 120, "caller_body_bytes_limit": 16 << 20, "server_body_bytes_highest": 7, "server_body_bytes_limit": 2 << 20, "body_bytes_limit": 32 << 20, "request_body_bytes_limit": 16 << 20}},
	} {
		scope := tally.NewTestScope("", nil)
		m := &meter{scope: scope, counted: make(map[string]int64)}
		m.setMemory(c.account)
		var bounds memory.Bounds
		if c.account != nil {
			bounds = c.account.Bounds
		}
		m.setServerBytes(7, bounds.Server)
		gauges := make(map[string]float64)
		for _, gauge := range scope.Snapshot().Gauges() {
			gauges[gauge.Name()] = gauge.Value()
		}
		if !maps.Equal(gauges, c.want) {
			t.Errorf("got gauges %v, want %v", gauges, c.want)
		}
	}
}
