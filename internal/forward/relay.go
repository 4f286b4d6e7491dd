package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// maxPeersTried is the number of other entries that one request is passed to.
	maxPeersTried = 3
	// maxPeerRefusalBytes bounds the part of a peer's refusal that is read: its reason.
	maxPeerRefusalBytes = 64
)

// ServeRelayed is the HTTP handler for requests that another entry, which reaches no
// server, passes on. They are served like those of callers, but never passed on again.
func (s *Server) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	s.Scope.Counter("requests_taken_over").Inc(1)
	s.serve(w, r, true)
}

// pickPeer places the request at another entry, if this one is cut off from the upstream's
// servers and has not sent the request to one. It returns nil if no entry can take it.
func (t *task) pickPeer() *place.Placement {
	if t.server.Fleet.IsCutOff(t.upstream) {
		return t.placeAtPeer()
	}
	return nil
}

// placeAtPeer places the request at another entry that the upstream's servers have answered
// a short time ago, or returns nil.
func (t *task) placeAtPeer() *place.Placement {
	now := time.Now()
	peers, allowed := t.reachingPeers(now)
	if !allowed {
		return nil
	}
	placement := t.server.Fleet.PickPeer(peers, t.tried, now)
	if placement != nil {
		t.peersTried++
		t.server.Scope.Counter("requests_passed_on").Inc(1)
		t.releaseReservation()
	}
	return placement
}

// reachingPeers returns the addresses of the other entries that the upstream's servers have
// answered a short time ago, if the request may be passed on.
func (t *task) reachingPeers(now time.Time) (peers []string, allowed bool) {
	if t.relayed || t.mayHaveRun || t.server.Peers == nil || t.peersTried >= maxPeersTried {
		return nil, false
	}
	if t.isEvacuated() || t.isOutsideRegions() || !t.mayRelay() {
		return nil, false
	}
	return t.server.Peers.Reaching(t.upstream, t.server.Fleet.ProvenSince(t.upstream, now)), true
}

// releaseReservation ends the reservation of a request that no server has run. The entry
// that it is passed to makes its own.
func (t *task) releaseReservation() {
	if t.reservation != nil {
		t.reservation.Settle(0)
		t.reservation = nil
	}
	t.prepared = false
}

// relayRequest returns the request to send to the other entry of a placement: the caller's,
// with the time that is left. Entries answer each request on a connection once, and in
// turn, so that their own refusals need not name the attempt.
func (t *task) relayRequest() *upstream.Request {
	return &upstream.Request{
		Method:     t.request.Method,
		Target:     t.request.Target,
		Host:       t.request.Host,
		Header:     t.server.Translator.RelayHeader(t.request, time.Until(t.deadline)),
		Body:       t.request.Body,
		Once:       !t.route.retriable(),
		IsResponse: t.isResponse,
	}
}

// useUpAttempts leaves no further attempt: the other entry has made those that the route
// allows.
func (t *task) useUpAttempts() {
	t.startedAttempts = t.route.maxAttempts()
}

// handlePeerRefusal passes on what another entry has answered itself. If that one could not
// take the request, another entry is sought.
func (t *task) handlePeerRefusal(placement *place.Placement, response *upstream.Response) (refused *refusal, shouldRetry bool) {
	refused = peerRefusal(response)
	t.discardResponse(response)
	if !refused.promisesNotRun() {
		placement.Done(place.Served{}, time.Now())
		t.mayHaveRun = refused.status == http.StatusBadGateway || refused.status == http.StatusGatewayTimeout
		t.useUpAttempts()
		t.reportFailedAttempt(placement, "failed_by_peer", string(refused.reason), false)
		return refused, false
	}
	placement.Done(place.Declined{}, time.Now())
	shouldRetry = t.peersTried < maxPeersTried && refused.isOfEntry()
	t.reportFailedAttempt(placement, "refused_by_peer", string(refused.reason), shouldRetry)
	return refused, shouldRetry
}

// peerRefusal decodes the refusal of another entry. One that does not know the route or the
// workspace has another configuration, and the caller may come again. A success without a
// server's signature is none.
func peerRefusal(response *upstream.Response) *refusal {
	body := make([]byte, maxPeerRefusalBytes)
	n, _ := response.Read(body)
	cause, _, _ := strings.Cut(string(body[:n]), "\n")
	r := &refusal{reason: reason(cause), status: response.Status}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	switch {
	case r.status == http.StatusUnauthorized || r.status == http.StatusNotFound:
		return serviceUnavailable(reasonNoConfiguration, retryAfterSoon)
	case r.status < http.StatusBadRequest:
		return badGateway(reasonBadResponse)
	}
	return r
}

// promisesNotRun reports whether the refusal says that the request has not run.
func (r *refusal) promisesNotRun() bool {
	return r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError || r.status == http.StatusServiceUnavailable
}

// isOfEntry reports whether the cause of the refusal lies with the entry, so that another
// one may take the request.
func (r *refusal) isOfEntry() bool {
	switch r.reason {
	case reasonNoConfiguration, reasonLeaving, reasonInterrupted, reasonNoTokens, reasonNoServer, reasonNotSent, reasonOverloaded, reasonHopeless, reasonNoDescriptors:
		return true
	default:
		return false
	}
}
