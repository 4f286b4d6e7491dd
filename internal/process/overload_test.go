package process

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// TestCallersCountTowardsTheLimit guards against descriptors of callers that are not counted,
// or counted after they are closed: the entry would run out of them, or refuse for ever.
func TestCallersCountTowardsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = overload.DescriptorLimit(128)
		g := &Gateway{Server: &forward.Server{Upstream: &upstream.Client{}}}
		g.limitConnections(limit)
		var network fake.Network
		l, err := listenCounted(network.Host("entry"), "entry:1", http.NotFoundHandler(), &g.connections)
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
