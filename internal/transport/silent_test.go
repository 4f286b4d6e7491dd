package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	parallelCalls = 8
	callTimeout   = 2 * time.Second
)

// blackholeProxy forwards connections to a server. When generation changes, it
// discards all further bytes of the open connections, while new ones work.
type blackholeProxy struct {
	listener   net.Listener
	target     string
	generation atomic.Int64
	workers    sync.WaitGroup
}

// run accepts connections until the listener is closed.
func (p *blackholeProxy) run() {
	defer p.workers.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			return
		}
		generation := p.generation.Load()
		p.workers.Add(2)
		go p.loop(client, server, generation)
		go p.loop(server, client, generation)
	}
}

// loop copies one direction of a connection. It discards the bytes once
// the proxy's generation differs from the connection's.
func (p *blackholeProxy) loop(from, to net.Conn, generation int64) {
	defer p.workers.Done()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.generation.Load() != generation {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// TestCallsRecoverFromBlackholedConnections guards against calls that time out one
// after another on idle connections that a network device has dropped silently.
// After the first timeout, all further calls must succeed over new connections.
func TestCallsRecoverFromBlackholedConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &blackholeProxy{listener: listener, target: server.Listener.Addr().String()}
	proxy.workers.Add(1)
	go proxy.run()
	client := transport.Client(transport.TCP{})
	for i, err := range callInParallel(client, listener.Addr().String()) {
		if err != nil {
			t.Errorf("call %d before the connections were dropped: %v", i, err)
		}
	}
	proxy.generation.Add(1)
	first := call(client, listener.Addr().String())
	if first == nil {
		t.Error("a call over a dropped connection succeeded, want a timeout")
	}
	for i, err := range callInParallel(client, listener.Addr().String()) {
		if err != nil {
			t.Errorf("call %d after the first timeout: %v", i, err)
		}
	}
	client.CloseIdleConnections()
	_ = listener.Close()
	server.CloseClientConnections()
	proxy.workers.Wait()
}

// callInParallel makes parallelCalls calls at once and returns their errors.
func callInParallel(client *http.Client, address string) []error {
	results := make([]error, parallelCalls)
	var calls sync.WaitGroup
	for i := range results {
		calls.Go(func() { results[i] = call(client, address) })
	}
	calls.Wait()
	return results
}

// call makes one request with callTimeout and reads the response.
func call(client *http.Client, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	return err
}
