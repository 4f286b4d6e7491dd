package fake

import (
	"testing"
	"testing/synctest"
)

// A listener that closes must end the connections that it has not accepted, or their
// callers wait for a response forever.
func TestClosedListenerResetsItsBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &Network{}
		listener, err := network.Host("server").Listen("10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := network.Host("client").DialContext(t.Context(), "tcp", "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			ended <- err
		}()
		_ = listener.Close()
		synctest.Wait()
		select {
		case err := <-ended:
			if err == nil {
				t.Error("a read from a connection that was never accepted succeeded")
			}
		default:
			t.Error("a connection that was never accepted stays open after its listener closed")
		}
	})
}
