package forward

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestDeadlineCountsBeforeItsTimer has a socket report the deadline before the
// context's timer has fired, as it does on a busy machine.
func TestDeadlineCountsBeforeItsTimer(t *testing.T) {
	late := &task{deadline: time.Now(), route: &Route{}}
	refused, again := late.repeatOr(context.Background(), unclear(reasonUnclear))
	if again || refused.reason != reasonTimeout || refused.status != http.StatusGatewayTimeout {
		t.Errorf("%+v, again %v", refused, again)
	}
}
