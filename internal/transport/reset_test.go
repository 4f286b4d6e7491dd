package transport_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// uploadBytes is more than the buffers of a connection on loopback hold, so that the write of
// an upload waits for its reader.
const uploadBytes = 32 << 20

// dialTo connects to a peer that answers the first byte with a part of a response and leaves the
// connection to end.
func dialTo(t *testing.T, end func(peer *net.TCPConn)) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var ended sync.WaitGroup
	ended.Go(func() {
		defer func() { _ = listener.Close() }()
		peer, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = peer.Close() }()
		_, _ = peer.Read(make([]byte, 1))
		_, _ = io.WriteString(peer, "part")
		end(peer.(*net.TCPConn))
	})
	conn, err := transport.TCP{}.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		ended.Wait()
	})
	return conn
}

// reset resets a connection.
func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	_ = peer.Close()
}

// upload writes more than the peer reads. The returned channel brings the error of the write.
func upload(conn net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, uploadBytes))
		written <- err
	}()
	return written
}

// TestResetThatAWriteTookIsNoEnd guards against a part that passes for the whole: the kernel
// reports a reset once, and if a write takes it, a read sees what it sees after an end in order.
func TestResetThatAWriteTookIsNoEnd(t *testing.T) {
	conn := dialTo(t, func(peer *net.TCPConn) {
		time.Sleep(50 * time.Millisecond)
		reset(peer)
	})
	err := <-upload(conn)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: error %v, want a reset", err)
	}
	for range 2 {
		data, err := io.ReadAll(conn)
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %q and error %v, want a reset", data, err)
		}
	}
}

// TestResetUnderAnUploadIsNoEnd is the same with a read and a write that wait for the reset
// together, so that either may take it.
func TestResetUnderAnUploadIsNoEnd(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for range 50 {
			conn := dialTo(t, func(peer *net.TCPConn) {
				time.Sleep(delay)
				reset(peer)
			})
			written := upload(conn)
			data, err := io.ReadAll(conn)
			if !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("reset after %s: read %q and error %v, want a reset", delay, data, err)
			}
			<-written
		}
	}
}

// TestEndInOrderUnderAnUploadIsAnEnd guards against a whole response that counts as cut because
// its upload was still being written: what came before an end in order is whole, whatever becomes
// of the connection afterwards.
func TestEndInOrderUnderAnUploadIsAnEnd(t *testing.T) {
	for name, end := range map[string]func(peer *net.TCPConn){
		"reads on":         func(peer *net.TCPConn) { _, _ = io.Copy(io.Discard, peer) },
		"reads nothing":    func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) },
		"resets afterward": reset,
	} {
		for _, writeFirst := range []bool{false, true} {
			for range 20 {
				conn := dialTo(t, func(peer *net.TCPConn) {
					time.Sleep(5 * time.Millisecond)
					_ = peer.CloseWrite()
					end(peer)
				})
				written := upload(conn)
				if writeFirst {
					<-written
				}
				data, err := io.ReadAll(conn)
				if string(data) != "part" || err != nil {
					t.Errorf("%s, write first %v: read %q and error %v, want all and no error", name, writeFirst, data, err)
				}
				_ = conn.Close()
			}
		}
	}
}
