package forward

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusbay/cactusbay/internal/overload"
)

const (
	// headerBytes is what the headers of a request and its response add to their bodies.
	headerBytes = 2 << 10
	// promptTokenBytes is the usual size of a prompt token, for bodies without a length.
	promptTokenBytes = 4
	// eventBytes is the usual size of an event of a stream with its framing.
	eventBytes = 160
	// maxIgnoredBodyBytes is the size up to which the body of a refused request is read
	// after all, so that its connection stays open. It has then arrived with the header.
	maxIgnoredBodyBytes = 4 << 10
)

// refuseForLoad refuses a request for which the entry has no room, before its body is read,
// and counts it.
func (t *task) refuseForLoad(r *http.Request) *refusal {
	refused := t.refuseWithoutDescriptors()
	if refused == nil {
		refused = t.refuseOverloaded(r)
	}
	if refused != nil {
		t.countShed(refused)
	}
	return refused
}

// countShed counts a request that is refused for want of room at this entry.
func (t *task) countShed(refused *refusal) {
	t.server.Scope.Tagged(map[string]string{
		"reason":   string(refused.reason),
		"priority": strconv.Itoa(t.route.priority(t.workspace)),
	}).Counter("requests_shed").Inc(1)
}

// refuseWithoutMemory refuses a request whose body the entry has no memory for, and counts
// it. It has not read the body, or only a part of one without a length.
func (t *task) refuseWithoutMemory(r *http.Request) *refusal {
	t.closeBeforeBody(r)
	refused := serviceUnavailable(reasonNoMemory, retryAfterOtherEntry)
	t.countShed(refused)
	return refused
}

// callerOf names the caller whose bodies count together: the workspace, whose callers share
// its limits and may come from many addresses or through one proxy, or else the host at the
// other end of the connection.
func (t *task) callerOf(r *http.Request) string {
	if t.workspace != nil {
		return "workspace " + t.workspace.Name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return "address " + r.RemoteAddr
	}
	return "address " + host
}

// closeBeforeBody makes a refusal close the connection if more than maxIgnoredBodyBytes of the
// body would follow. Otherwise the HTTP server reads up to 256 KB of the body before it sends
// the refusal.
func (t *task) closeBeforeBody(r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > maxIgnoredBodyBytes {
		t.w.Header().Set("Connection", "close")
	}
}

// refuseOverloaded refuses a request that the entry would serve late, before its body is
// read.
func (t *task) refuseOverloaded(r *http.Request) *refusal {
	controller := t.server.Overload
	if controller == nil {
		return nil
	}
	decision := controller.Admit(t.start, t.overloadRequest(r))
	refused, ok := decision.(overload.Refused)
	if !ok {
		return nil
	}
	t.closeBeforeBody(r)
	return serviceUnavailable(reason(refused.Reason), retryAfterOtherEntry)
}

// overloadRequest describes the request to the controller.
func (t *task) overloadRequest(r *http.Request) overload.Request {
	return overload.Request{
		Workspace:     t.workspaceName(),
		Priority:      t.route.priority(t.workspace),
		LatencyTarget: t.route.LatencyTarget.Or(0),
		Remaining:     t.timeout(),
		Bytes:         t.expectedBytes(r),
		Resumes:       t.request.LastEventID != "",
	}
}

// refuseWithoutDescriptors refuses a request while few file descriptors are free, and closes
// the caller's connection to free another one. The rest of a response that has begun may use
// the last ones.
func (t *task) refuseWithoutDescriptors() *refusal {
	if !t.lacksDescriptors() {
		return nil
	}
	t.w.Header().Set("Connection", "close")
	return serviceUnavailable(reasonNoDescriptors, retryAfterOtherEntry)
}

// lacksDescriptors reports whether too few file descriptors are free for the request.
func (t *task) lacksDescriptors() bool {
	return t.server.HasDescriptors != nil && t.request.LastEventID == "" && !t.server.HasDescriptors()
}

// expectedBytes estimates what the request and its response send over the link in one
// direction, from the headers.
func (t *task) expectedBytes(r *http.Request) int64 {
	bytes := headerBytes + max(0, r.ContentLength)
	prompt := t.request.Prompt
	if prompt == nil {
		return bytes
	}
	if r.ContentLength < 0 {
		bytes += promptTokenBytes * prompt.Tokens
	}
	return bytes + eventBytes*(prompt.Output/max(1, t.route.EventTokens))
}

// recordWrite records how long a write to the caller has blocked that began at start.
func (t *task) recordWrite(start time.Time) {
	if t.server.Overload != nil {
		now := time.Now()
		t.server.Overload.RecordWrite(now, now.Sub(start))
	}
}
