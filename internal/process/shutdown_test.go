package process

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/drain"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// TestPlanRefusesLongRequestsOnceNoticed guards against requests that are taken for as long
// as connections are accepted, although what is left of the shutdown may not suffice.
func TestPlanRefusesLongRequestsOnceNoticed(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name                          string
		limit, lag, arrival, duration time.Duration
		refused                       bool
	}{
		{"before anyone can have noticed", 8 * time.Second, 5 * time.Second, 2 * time.Second, 10 * time.Second, false},
		{"while connections are still accepted", 8 * time.Second, 5 * time.Second, 2500 * time.Millisecond, 10 * time.Second, true},
		{"at the end of a short lag", 8 * time.Second, time.Second, 1500 * time.Millisecond, 10 * time.Second, true},
		{"short enough for what is left", 8 * time.Second, 5 * time.Second, 3 * time.Second, 2 * time.Second, false},
		{"until just before the limit", 8 * time.Second, 5 * time.Second, 3 * time.Second, 5*time.Second - exitMargin, true},
		{"slow load balancers and a long limit", 30 * time.Second, 20 * time.Second, 8 * time.Second, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithDeadline(t.Context(), now.Add(c.limit))
			defer cancel()
			plan := newPlan(ctx, c.lag, now)
			arrival := now.Add(c.arrival)
			refused := plan.Refuses(arrival, arrival.Add(c.duration))
			if refused != c.refused {
				t.Errorf("refused %v, want %v", refused, c.refused)
			}
		})
	}
}

// TestInterruptedRequestIsAnsweredBeforeConnectionsClose guards against a shutdown that
// closes the connections of the requests that it interrupts before these are answered.
func TestInterruptedRequestIsAnsweredBeforeConnectionsClose(t *testing.T) {
	var draining drain.Drain
	started := make(chan struct{})
	l, err := listen(transport.TCP{}, "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := draining.Context(r.Context())
		defer cancel()
		close(started)
		<-ctx.Done()
		if drain.IsInterrupted(ctx) {
			w.WriteHeader(http.StatusBadGateway)
		}
	}), listenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	conn := sendRequest(t, l.address(), "/")
	<-started
	const limit = time.Second
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	begin := time.Now()
	drainCallers(ctx, time.Millisecond, draining.Begin, l)
	took := time.Since(begin)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("the interrupted request got %v and the error %v, want status 502", response, err)
	}
	if took > limit-exitMargin+100*time.Millisecond {
		t.Errorf("the shutdown took %s of %s", took, limit)
	}
}
