package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const staleServer = "10.0.0.1:80"

// staleEngine refuses every request. It fails the test on the second request of an attempt on
// one connection, which a copy of the response to the first could answer.
type staleEngine struct {
	t        *testing.T
	listener net.Listener
}

func (e *staleEngine) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		c := &staleConn{t: e.t, conn: conn}
		go c.run()
	}
}

// staleConn is a connection to a staleEngine.
type staleConn struct {
	t    *testing.T
	conn net.Conn
}

func (c *staleConn) run() {
	defer func() { _ = c.conn.Close() }()
	reader := bufio.NewReader(c.conn)
	carried := make(map[string]bool)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		attempt := request.Header.Get(AttemptHeader)
		if carried[attempt] {
			c.t.Errorf("%s %s of attempt %s follows another request of the attempt on its connection", request.Method, request.URL.Path, attempt)
		}
		carried[attempt] = true
		_, _ = io.WriteString(c.conn, "HTTP/1.1 503 x\r\n"+AttemptHeader+": "+attempt+"\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestAttemptIsNotRepeatedOnItsConnection guards against a copy of the response to one request
// of an attempt being taken for the response to a later one, which has the same id.
func TestAttemptIsNotRepeatedOnItsConnection(t *testing.T) {
	network := &fake.Network{}
	listener, err := network.Host("engine").Listen(staleServer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	engine := &staleEngine{t: t, listener: listener}
	go engine.run()
	client := &Client{Upstream: upstream.Client{Network: network.Host("entry")}}
	defer client.Close()
	ctx := context.Background()
	_, _ = client.Open(ctx, Chat{Address: staleServer, Attempt: "one"})
	_, _ = client.Resume(ctx, Chat{Address: staleServer, Attempt: "one"})
	_, _ = client.Resume(ctx, Chat{Address: staleServer, Attempt: "one"})
	_, _ = client.QueryAttempt(ctx, staleServer, "one")
	_, _ = client.CancelAttempt(ctx, staleServer, "one")
	_, _ = client.Open(ctx, Chat{Address: staleServer, Attempt: "one", Again: true})
	before := client.Upstream.Dials()
	_, _ = client.Open(ctx, Chat{Address: staleServer, Attempt: "two"})
	if client.Upstream.Dials() != before {
		t.Error("the first request of another attempt was sent on a new connection")
	}
}
