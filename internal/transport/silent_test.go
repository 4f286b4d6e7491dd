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
	silentCalls   = 8
	silentTimeout = 2 * time.Second
)

// silentProxy forwards connections to a server until it forgets them: their
// bytes then vanish, while new connections work.
type silentProxy struct {
	listener net.Listener
	target   string
	era      atomic.Int64
	workers  sync.WaitGroup
}

func (p *silentProxy) run() {
	defer p.workers.Done()
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			return
		}
		era := p.era.Load()
		p.workers.Add(2)
		go p.loop(near, far, era)
		go p.loop(far, near, era)
	}
}

// loop copies one direction; the bytes of a forgotten era are dropped.
func (p *silentProxy) loop(from, to net.Conn, era int64) {
	defer p.workers.Done()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.era.Load() != era {
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

// TestCallsGoOnAfterSilence keeps several connections warm over loopback TCP,
// silences them all and expects every second call to be answered.
func TestCallsGoOnAfterSilence(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &silentProxy{listener: listener, target: server.Listener.Addr().String()}
	proxy.workers.Add(1)
	go proxy.run()
	client := transport.Client(transport.TCP{})
	for i, err := range callTogether(client, listener.Addr().String()) {
		if err != nil {
			t.Errorf("call %d before the silence: %v", i, err)
		}
	}
	proxy.era.Add(1)
	first := call(client, listener.Addr().String())
	if first == nil {
		t.Error("a call over a silent connection was answered")
	}
	for i, err := range callTogether(client, listener.Addr().String()) {
		if err != nil {
			t.Errorf("call %d after the silence: %v", i, err)
		}
	}
	client.CloseIdleConnections()
	_ = listener.Close()
	server.CloseClientConnections()
	proxy.workers.Wait()
}

func callTogether(client *http.Client, address string) []error {
	results := make([]error, silentCalls)
	var calls sync.WaitGroup
	for i := range results {
		calls.Go(func() { results[i] = call(client, address) })
	}
	calls.Wait()
	return results
}

func call(client *http.Client, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), silentTimeout)
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
