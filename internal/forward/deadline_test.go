package forward

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestSocketDeadlineBeforeContextTimerIsATimeout guards against a 502 in place of
// a 504. On a busy machine a socket's deadline may expire before the timer of the
// context with the same deadline fires, so that ctx.Err is still nil.
func TestSocketDeadlineBeforeContextTimerIsATimeout(t *testing.T) {
	expired := &task{deadline: time.Now(), route: &Route{}}
	refused, shouldRetry := expired.retryOr(context.Background(), badGateway(reasonOutcomeUnclear))
	if shouldRetry || refused.reason != reasonTimeout || refused.status != http.StatusGatewayTimeout {
		t.Errorf("refusal %+v, retry %v; want reason timeout with status 504 and no retry", refused, shouldRetry)
	}
}
