package process

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// divertInputs feeds a loop with a load and with peers that have room.
type divertInputs struct {
	*divertLoop
	now    time.Time
	output bytes.Buffer
	// notAsked is set while nothing asks for diverting.
	notAsked bool
}

func newDivertInputs() *divertInputs {
	i := &divertInputs{now: time.Unix(1000, 0)}
	logger := log.New(&i.output)
	logger.SetFormatter(log.JSONFormatter)
	controller := newOverloadController(&settings.Overload{LinkMbps: 10, Divert: true}, false)
	i.divertLoop = &divertLoop{diverter: overload.NewDiverter(10 * bytesPerMegabit), controller: controller, counter: &linkCounter{}, mayDivert: &atomic.Bool{}, asked: func(time.Time) bool { return !i.notAsked }, log: logger}
	return i
}

func (i *divertInputs) hold(during time.Duration, utilization float64) {
	for end := i.now.Add(during); i.now.Before(end); {
		i.now = i.now.Add(overload.DivertInterval)
		i.counter.received.Add(int64(utilization * 10 * bytesPerMegabit * overload.DivertInterval.Seconds()))
		for peer := range 8 {
			i.diverter.RecordPeer(i.now, fmt.Sprint(peer), overload.PeerState{DelayKnown: true, UtilizationKnown: true})
		}
		i.step(i.now)
	}
}

// TestDivertLogger guards against a diversion that leaves no line, or a line without its inputs.
func TestDivertLogger(t *testing.T) {
	i := newDivertInputs()
	i.hold(2*time.Second, 0.3)
	i.hold(4*time.Second, 1)
	i.hold(20*time.Second, 0.3)
	lines := strings.Split(strings.TrimSpace(i.output.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("got %d lines, want one for the begin and one for the end:\n%s", len(lines), i.output.String())
	}
	t.Logf("the lines:\n%s", i.output.String())
	for n, wants := range [][]string{
		{`"msg":"diverting begun"`, `"cause":"utilization"`, `"utilization_received":0.8`, `"utilization_sent":0,`, `"delay_known":false`, `"target_ms":125`, `"peers":8`, `"peers_with_room":1`, `"peers_diverting":0`},
		{`"msg":"diverting ended"`, `"cause":"recovered"`, `"highest_utilization_received":0.9`, `"for_ms":`},
	} {
		for _, want := range wants {
			if !strings.Contains(lines[n], want) {
				t.Errorf("line %d lacks %s: %s", n, want, lines[n])
			}
		}
	}
}

// TestDivertingEntryIsNotReady guards against a diversion that the load balancer does not see,
// against one that other readers of the state take for a failure, and against one that makes an
// entry that shuts down ready.
func TestDivertingEntryIsNotReady(t *testing.T) {
	i := newDivertInputs()
	g := &Gateway{Server: &forward.Server{Fleet: &place.Fleet{}, Holder: &escrow.Holder{}, Log: log.New(io.Discard)}, diverter: i.diverter}
	g.Server.Install(1, &config.Document{})
	status := func() int {
		recorder := httptest.NewRecorder()
		g.serveReady(recorder, nil)
		return recorder.Code
	}
	i.hold(time.Second, 0.3)
	if got := status(); got != http.StatusOK {
		t.Fatalf("status %d before the load, want 200", got)
	}
	i.hold(2*time.Second, 1)
	if got := status(); got != http.StatusServiceUnavailable || !g.isReady() {
		t.Errorf("status %d while the entry diverts and ready %t elsewhere, want 503 and true", got, g.isReady())
	}
	scope := tally.NewTestScope("", nil)
	m := &meter{scope: scope, counted: make(map[string]int64)}
	m.setReady(true, false, g.isDiverting(), g.isNotListening())
	m.setDiversion(g.diverter)
	gauges := make(map[string]float64)
	for _, gauge := range scope.Snapshot().Gauges() {
		gauges[gauge.Name()+" "+gauge.Tags()["reason"]+gauge.Tags()["direction"]] = gauge.Value()
	}
	received := gauges["link_utilization received"]
	delete(gauges, "link_utilization received")
	want := map[string]float64{"not_ready no_configuration": 0, "not_ready shutting_down": 0, "not_ready diverting": 1, "not_ready not_listening": 0, "diverting ": 1, "peers_diverting ": 0, "link_utilization sent": 0}
	if !maps.Equal(gauges, want) || received < 0.9 {
		t.Errorf("got gauges %v and a utilization of %.2f, want %v and about 1", gauges, received, want)
	}
	i.hold(20*time.Second, 0.3)
	if got := status(); got != http.StatusOK {
		t.Errorf("status %d after the load, want 200", got)
	}
	g.shuttingDown.Store(true)
	if got := status(); got != http.StatusServiceUnavailable {
		t.Errorf("status %d during a shutdown, want 503", got)
	}
}

// TestOverloadSettings guards against an entry whose memory isn't bounded, and against bounds on
// servers, shedding or diverting that take effect although the settings or the contracts do not
// ask for them.
func TestOverloadSettings(t *testing.T) {
	for _, c := range []struct {
		settings          settings.Overload
		bounded           bool
		measures, refuses bool
		diverts           bool
	}{
		{settings.Overload{LinkMbps: 10, MemoryMB: 184}, true, false, false, false},
		{settings.Overload{LinkMbps: 10, MemoryMB: 184, Shed: true}, true, true, true, false},
		{settings.Overload{LinkMbps: 10, MemoryMB: 184, Divert: true}, true, true, false, true},
		{settings.Overload{LinkMbps: 10, MemoryMB: 184, Divert: true, Shed: true}, true, true, true, true},
		{settings.Overload{LinkMbps: 10, MemoryMB: 184, Shed: true}, false, false, false, false},
		{settings.Overload{LinkMbps: 10, MemoryMB: 184, Divert: true, Shed: true}, false, true, false, true},
	} {
		g := &Gateway{Server: &forward.Server{Upstream: &upstream.Client{}, Fleet: &place.Fleet{}}}
		g.boundResources(&settings.Settings{Seeded: &settings.Seeded{Overload: &c.settings}}, log.New(io.Discard))
		g.limitLoad(&c.settings, c.bounded)
		if g.Server.Memory == nil || g.Server.Memory.Bounds != memory.BoundsOf(c.settings.MemoryMB) {
			t.Errorf("%+v: memory %+v, want the bounds of the settings", c.settings, g.Server.Memory)
		}
		servers, reuses := g.Server.Fleet.MaxServerBytes > 0, g.Server.Upstream.OldestFirst
		responses := g.Server.BoundsResponses
		if servers != c.bounded || responses != c.bounded || reuses != c.bounded || g.mayDivert.Load() != c.bounded {
			t.Errorf("%+v, bounded %t: bounds servers %t and responses %t, reuses old connections %t, may divert %t; want all as bounded", c.settings, c.bounded, servers, responses, reuses, g.mayDivert.Load())
		}
		controller := g.Server.Overload
		_, counts := g.requestNetwork(transport.TCP{}).(countedNetwork)
		if (controller != nil) != c.measures || (g.diverter != nil) != c.diverts || counts != c.diverts {
			t.Errorf("%+v: measures %t, diverts %t, counts bytes %t; want %t, %t and the same", c.settings, controller != nil, g.diverter != nil, counts, c.measures, c.diverts)
		}
		if controller != nil && controller.MeasureOnly == c.refuses {
			t.Errorf("%+v: measures only is %t, want %t", c.settings, controller.MeasureOnly, !c.refuses)
		}
	}
}

// TestMemoryOfAnEntry guards against an entry without bounds where the settings state its memory
// in one place, or nowhere.
func TestMemoryOfAnEntry(t *testing.T) {
	for _, c := range []struct {
		settings settings.Seeded
		want     int
	}{
		{settings.Seeded{}, defaultMemoryMB},
		{settings.Seeded{MemoryMB: 144}, 144},
		{settings.Seeded{MemoryMB: 144, Overload: &settings.Overload{MemoryMB: 184}}, 184},
	} {
		if got := entryMemoryMB(&c.settings); got != c.want {
			t.Errorf("%+v: %d MiB, want %d", c.settings, got, c.want)
		}
	}
}

// allowed returns the state of an entry that may divert.
func allowed() *atomic.Bool {
	mayDivert := &atomic.Bool{}
	mayDivert.Store(true)
	return mayDivert
}

// TestDivertsOnlyWhereAsked guards against an entry that diverts although neither the contracts
// nor the backend servers ask for it, and one that goes on once they no longer do.
func TestDivertsOnlyWhereAsked(t *testing.T) {
	i := newDivertInputs()
	i.notAsked = true
	i.hold(3*time.Second, 1)
	if state := i.diverter.Status(); state.Diverting || state.PeersHaveRoom || i.mayDivert.Load() {
		t.Errorf("not asked: got %+v, want no diversion and no room to refuse connections", state)
	}
	i.notAsked = false
	i.hold(3*time.Second, 1)
	if !i.diverter.Status().Diverting || !i.mayDivert.Load() {
		t.Fatal("asked: the entry does not divert")
	}
	i.notAsked = true
	i.hold(overload.DivertInterval, 1)
	if state := i.diverter.Status(); state.Diverting || state.Cause != overload.NotAsked {
		t.Errorf("no longer asked: got %+v, want the end of the diversion", state)
	}
	if state := i.diverter.Status(); state.Utilization != (overload.Utilization{}) || state.Peers != 0 {
		t.Errorf("no longer asked: got %+v, want nothing of what was measured and stated", state)
	}
	i.notAsked = false
	i.hold(overload.DivertInterval, 0)
	if i.diverter.Status().Diverting {
		t.Error("asked again without load: the entry diverts because of what was measured before")
	}
	if lines := strings.Count(i.output.String(), "diverting "); lines != 2 {
		t.Errorf("%d lines, want one for the begin and one for the end", lines)
	}
}

// TestStatedSlowdownAsksForDiverting guards against an entry that ignores servers which share
// their machines, and against one that takes a load without a slowdown for such a statement.
func TestStatedSlowdownAsksForDiverting(t *testing.T) {
	now := time.Unix(1000, 0)
	for slowdown, want := range map[float64]bool{0: false, 0.7: true} {
		fleet := &place.Fleet{}
		fleet.Update([]instances.Instance{{ID: "i-0", Upstream: "pool", Address: "a", Slots: 8}}, now)
		g := &Gateway{Server: &forward.Server{Fleet: fleet}}
		chosen, ok := fleet.Pick(place.Query{Now: now, Upstream: "pool"}).(place.Chosen)
		if !ok {
			t.Fatal("no server is available")
		}
		chosen.Placement.SetLoad(place.Load{Running: 1, Slots: 8, Slowdown: slowdown}, now)
		if got := g.isDivertingAsked(now); got != want {
			t.Errorf("slowdown %v: asked %t, want %t", slowdown, got, want)
		}
		if g.isDivertingAsked(now.Add(time.Hour)) {
			t.Errorf("slowdown %v: still asked after an hour", slowdown)
		}
	}
}

// TestFullLinkRefusesConnections guards against an entry that accepts connections while requests
// fill its link, that goes on to refuse them when it shuts down, and that fills its log.
func TestFullLinkRefusesConnections(t *testing.T) {
	var output bytes.Buffer
	logger := log.New(&output)
	logger.SetFormatter(log.JSONFormatter)
	socket, l := startPausable(t, transport.TCP{})
	loop := &acceptLoop{limiter: overload.NewAcceptLimiter(10 * bytesPerMegabit), mayDivert: allowed(), diverter: overload.NewDiverter(10 * bytesPerMegabit), counter: &linkCounter{}, listener: socket, log: logger}
	now := time.Unix(1000, 0)
	hold := func(during time.Duration, utilization float64) {
		for end := now.Add(during); now.Before(end); {
			now = now.Add(overload.AcceptInterval)
			for peer := range 8 {
				loop.diverter.RecordPeer(now, fmt.Sprint(peer), overload.PeerState{DelayKnown: true, UtilizationKnown: true})
			}
			loop.diverter.Step(now, overload.Traffic{}, overload.Status{Target: time.Second})
			loop.counter.received.Add(int64(utilization * 10 * bytesPerMegabit * overload.AcceptInterval.Seconds()))
			loop.step(now)
		}
	}
	hold(time.Second, 0.5)
	if !dials(l.address()) {
		t.Fatal("a connection was refused while the link has room")
	}
	hold(600*time.Millisecond, 1.2)
	await(t, "connections are refused", func() bool { return !dials(l.address()) })
	hold(10*time.Second, 1.2)
	hold(5*time.Second, 0.5)
	if !dials(l.address()) {
		t.Error("a connection was refused after the load was gone")
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], `"msg":"refusing connections begun"`) || !strings.Contains(lines[1], `"msg":"refusing connections ended"`) {
		t.Errorf("got these lines, want one for the begin and one for the end:\n%s", output.String())
	}
	t.Logf("the lines:\n%s", output.String())
	hold(600*time.Millisecond, 1.2)
	loop.start()
	loop.close()
	if !dials(l.address()) || loop.isRefusing.Load() {
		t.Error("a connection was refused after the loop has ended for a shutdown")
	}
	conn, err := net.Dial("tcp", l.address())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	answer, _ := io.ReadAll(conn)
	if !strings.HasSuffix(string(answer), "ok") {
		t.Errorf("got the response %q", answer)
	}
}
