package forward

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestDeadlineCountsBeforeItsTimer has a socket report the deadline before the
// context's timer has fired, as it does on a busy machine.
func TestSocketDeadlineBeforeContextTimerIsATimeout(t *testing.T) {
	expired := &task{deadline: time.Now(), route: &Route{}}
	refused, shouldRetry := expired.retryOr(context.Background(), badGateway(reasonOutcomeUnclear))
	if shouldRetry || refused.reason != reasonTimeout || refused.status != http.StatusGatewayTimeout {
		t.Errorf("%+v, again %v", refused, shouldRetry)
	}
}
