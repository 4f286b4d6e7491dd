package forward

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// streamAgeMargin is added to a route's timeout to give the longest time since the
	// begin of a stream that a caller resumes.
	streamAgeMargin = 5 * time.Second
	// awaitListTimeout is longer than the time between two responses of the control group
	// about the list.
	awaitListTimeout = 2500 * time.Millisecond
)

// StreamOrigins knows where streams began, over all entries. An origin is a text that
// only this package reads. Its methods may be called concurrently.
type StreamOrigins interface {
	// Began records the origin of the stream of a caller's attempt. It does not block.
	Began(attempt, origin string)
	// OriginOf returns the origin of the stream of an attempt. known is false if no entry
	// says so in time.
	OriginOf(ctx context.Context, attempt string) (origin string, known bool)
}

// origin is where a stream began.
type origin struct {
	upstream string
	// version is the software version of the server.
	version string
}

// originSeparator stands between the upstream and the version in an origin's text.
const originSeparator = "\n"

// String returns the text of the origin.
func (o origin) String() string {
	return o.upstream + originSeparator + o.version
}

// parseOrigin is the inverse of String.
func parseOrigin(text string) origin {
	upstream, version, _ := strings.Cut(text, originSeparator)
	return origin{upstream: upstream, version: version}
}

// resolveOrigin limits a request that resumes a stream to the upstream and the software
// version that began it. It refuses a stream whose origin is unknown while several are
// possible, or whose upstream the route no longer allows.
func (t *task) resolveOrigin(ctx context.Context) *refusal {
	if t.request.LastEventID == "" || t.route.Repetition != config.RepeatStream {
		return nil
	}
	began, known := t.originOf(ctx, t.request.ContinuedAttempt)
	if !known {
		began, known = t.soleOrigin(ctx)
	}
	switch {
	case !known:
		return serviceUnavailable(reasonUnknownVersion, retryAfterSoon)
	case !t.route.allowsUpstream(began.upstream):
		return serviceUnavailable(reasonRouteMoved, retryAfterLater)
	}
	t.upstream = began.upstream
	t.version = place.VersionLimit{Limited: true, Version: began.version}
	return nil
}

// soleOrigin returns the only origin that a stream of the route can have: one version of
// one upstream alone has served for as long as the stream may have lasted, by a list that was
// followed all the while. The list and the configuration are no older than this call: another
// entry may have learned of a new server, or that the route has moved, and begun the stream
// there before.
func (t *task) soleOrigin(ctx context.Context) (began origin, known bool) {
	if t.server.AwaitList == nil {
		return origin{}, false
	}
	// A request that the wait can't help is refused at once.
	_, known = t.onlyOrigin(time.Now())
	if !known {
		return origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, awaitListTimeout)
	defer cancel()
	called := time.Now()
	if !t.awaitConfiguration(ctx) || !t.server.AwaitList(ctx, called) {
		return origin{}, false
	}
	began, known = t.onlyOrigin(time.Now())
	if known && t.request.ContinuedAttempt != "" && t.server.Streams != nil {
		t.server.Streams.Began(t.request.ContinuedAttempt, began.String())
	}
	return began, known
}

// awaitConfiguration waits until the configuration in force is known to be the newest.
func (t *task) awaitConfiguration(ctx context.Context) bool {
	return t.server.AwaitConfiguration == nil || t.server.AwaitConfiguration(ctx)
}

// onlyOrigin returns the only origin that the stream can have by the configurations and the
// list that the entry has followed for as long as the stream may have lasted.
func (t *task) onlyOrigin(now time.Time) (only origin, known bool) {
	candidates, known := t.findOrigins(now)
	if !known || t.server.ListFollowedFor == nil || t.server.ListFollowedFor() < candidates.within {
		return origin{}, false
	}
	served := slices.DeleteFunc(candidates.upstreams, func(upstream string) bool {
		return !t.server.Fleet.HadServers(upstream, candidates.within, now)
	})
	if len(served) != 1 {
		return origin{}, false
	}
	version, known := t.server.Fleet.SoleVersion(served[0], candidates.within, now)
	return origin{upstream: served[0], version: version}, known
}

// originOf returns where the stream of an earlier attempt began, if an entry knows it. It
// records the origin again, so that it outlives entries that have ended since.
func (t *task) originOf(ctx context.Context, attempt string) (began origin, known bool) {
	if attempt == "" || t.server.Streams == nil {
		return origin{}, false
	}
	text, known := t.server.Streams.OriginOf(ctx, attempt)
	if !known {
		return origin{}, false
	}
	t.server.Streams.Began(attempt, text)
	return parseOrigin(text), true
}

// recordVersion limits further attempts to the software version of the server that sent
// the first event, and records it for attempts that resume the stream at other entries.
func (t *task) recordVersion(version string) {
	if t.version.Limited {
		return
	}
	t.version = place.VersionLimit{Limited: true, Version: version}
	if t.route.Resumable && t.server.Streams != nil {
		t.server.Streams.Began(t.request.AttemptID, origin{upstream: t.upstream, version: version}.String())
	}
}
