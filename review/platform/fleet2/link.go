package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// link is a TCP proxy in front of one listener that can hold back the bytes of some connections,
// like a network that drops them.
type link struct {
	// address is where the link listens, and target where its connections go.
	address string
	target  string

	mu sync.Mutex
	// hosts and marks say which connections are held: those from a host, and those on which the
	// client has sent one of the texts.
	hosts map[string]bool
	marks [][]byte
}

const holdPoll = 5 * time.Millisecond

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, hosts: make(map[string]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// holdHost holds the connections from a host, or lets them go on.
func (l *link) holdHost(host string, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host] = held
}

// holdMark holds the connections on which a client has sent the text; nil lets all go on.
func (l *link) holdMark(text []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.marks = nil
	if text != nil {
		l.marks = [][]byte{text}
	}
}

// pair is one connection through a link.
type pair struct {
	host string

	mu   sync.Mutex
	sent []byte
}

// maxSent bounds the bytes of a client that are kept to recognize it.
const maxSent = 1 << 16

func (p *pair) record(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, data...)
	if len(p.sent) > maxSent {
		p.sent = p.sent[len(p.sent)-maxSent:]
	}
}

func (p *pair) contains(text []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Contains(p.sent, text)
}

func (l *link) isHeld(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts[p.host] {
		return true
	}
	for _, mark := range l.marks {
		if p.contains(mark) {
			return true
		}
	}
	return false
}

func (l *link) serve(client net.Conn) {
	host, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	p := &pair{host: host}
	dialer := &net.Dialer{Timeout: time.Second}
	server, err := dialer.Dial("tcp", l.target)
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	go l.forward(server, client, p, true)
	l.forward(client, server, p, false)
}

// forward copies bytes until an end, and holds them while the connection is held.
func (l *link) forward(to, from net.Conn, p *pair, fromClient bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if fromClient {
			p.record(buffer[:n])
		}
		for l.isHeld(p) {
			time.Sleep(holdPoll)
		}
		if n > 0 {
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
