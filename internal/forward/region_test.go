package forward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
)

// limitRegions installs a version of the configuration whose route and workspace allow the
// given regions.
func (f *fixture) limitRegions(version uint64, route config.HostRoute, ofRoute, ofWorkspace []string) {
	d := document(f.t, route)
	for key, hostRoute := range d.HostRoutes {
		hostRoute.AllowedRegions = ofRoute
		d.HostRoutes[key] = hostRoute
	}
	for name, workspace := range d.Workspaces {
		workspace.AllowedRegions = ofWorkspace
		d.Workspaces[name] = workspace
	}
	f.server.Install(version, d)
}

// setRegions puts failure domain a into the region north and b into south; that of c stays
// unknown. The servers are listed again.
func (f *fixture) setRegions() {
	f.server.Fleet.Update(nil, time.Now())
	f.server.Fleet.Regions = map[string]string{"a": "north", "b": "south"}
	f.spread()
}

// TestRequestsStayInAllowedRegions guards against a first attempt, a repeat, a resumed stream
// or a successor outside the regions that the route and the workspace allow, and against
// limits that outlive the configuration that states them.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route      config.HostRoute
		responders []responder
	}{
		"repeat":         {idempotentRoute, []responder{resetConn, respond(200, signatureHeader, "done")}},
		"declined":       {onceRoute, []responder{respond(503, notRunHeader, ""), respond(200, signatureHeader, "done")}},
		"resumed stream": {resumableRoute, []responder{streamEvents(1, 2, "", false), streamEvents(3, 4, "", true)}},
		"successor":      {idempotentRoute, []responder{hang, respond(200, signatureHeader, "done")}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.route, c.responders...)
			f.setRegions()
			f.limitRegions(2, c.route, []string{"north", "south"}, []string{"south"})
			_, _, _, _ = f.send("/a/x", "secret")
			if len(f.receivedBy) != 1 {
				t.Errorf("attempts at %v, want one, as one server is allowed", f.receivedBy)
			}
			f.limitRegions(3, c.route, nil, nil)
			_, _, _, _ = f.send("/a/x", "secret")
			if len(f.receivedBy) < 2 {
				t.Errorf("attempts at %v, want more without a limit", f.receivedBy)
			}
		})
	}
}

// TestRequestsWithoutAllowedServerAreRefusedAsNotRun guards against requests that run, wait or
// are passed to another entry while no server is in an allowed region.
func TestRequestsWithoutAllowedServerAreRefusedAsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		ofRoute, ofWorkspace []string
	}{
		"unknown region":      {[]string{"east"}, nil},
		"no region in common": {[]string{"north"}, []string{"south"}},
	} {
		t.Run(name, func(t *testing.T) {
			peer := newFixture(t, onceRoute, respond(200, signatureHeader, "elsewhere"))
			f := relayFixture(t, onceRoute, peer)
			f.setRegions()
			f.limitRegions(2, onceRoute, c.ofRoute, c.ofWorkspace)
			for _, cutOff := range []bool{true, false} {
				if !cutOff {
					f.server.Fleet.Reached("pool", time.Now())
				}
				status, body, _, header := f.send("/a/x", "secret")
				retryAfter, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
				if status != http.StatusServiceUnavailable || body != "no_server_in_allowed_regions\n" || retryAfter <= 0 {
					t.Errorf("cut off %v: got status %d, body %q and Retry-After %v, want 503 with one", cutOff, status, body, retryAfter)
				}
			}
			if f.attempts() != 0 || peer.attempts() != 0 {
				t.Errorf("%d attempts here and %d at the peer, want none", f.attempts(), peer.attempts())
			}
		})
	}
}

// TestLimitedRequestsAreRelayedWithinRegions guards against requests that are passed to an
// entry which may be in a region where they must not go, and against ones that are refused
// although every entry is in an allowed region or in that of this entry.
func TestLimitedRequestsAreRelayedWithinRegions(t *testing.T) {
	for name, c := range map[string]struct {
		regions map[string]string
		relayed int
	}{
		"all in allowed regions or this one": {map[string]string{"a": "north", "b": "south", "c": "home"}, 1},
		"another region":                     {map[string]string{"a": "north", "b": "south", "c": "east"}, 0},
		"a region without a name":            {map[string]string{"a": "north", "b": "south", "c": ""}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			peer := newFixture(t, onceRoute, respond(200, signatureHeader, "elsewhere"))
			f := relayFixture(t, onceRoute, peer)
			f.setRegions()
			f.server.Region = "home"
			f.server.Fleet.Regions = c.regions
			f.limitRegions(2, onceRoute, []string{"north", "south"}, nil)
			_, _, _, _ = f.send("/a/x", "secret")
			if peer.attempts() != c.relayed {
				t.Errorf("%d attempts at the peer, want %d", peer.attempts(), c.relayed)
			}
		})
	}
}
