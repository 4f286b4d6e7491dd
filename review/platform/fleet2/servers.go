package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// listed is an entry of the platform's list.
type listed struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Version       string `json:"version"`
	Slots         int    `json:"slots"`
	State         string `json:"state"`
	ColdRemaining int    `json:"cold-remaining-ms"`
	Born          int64  `json:"born"`
}

// platform serves the list of servers as it was listLag ago.
type platform struct {
	mu      sync.Mutex
	history []change
	// down is set while the platform answers nothing but 503.
	down bool
}

// setDown makes the platform answer 503, or serve again.
func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// change is one change of the list.
type change struct {
	at    time.Time
	entry listed
}

// set adds an entry of the list, or replaces the one with its id, from listLag on.
func (p *platform) set(entry listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, change{at: time.Now(), entry: entry})
}

// ServeHTTP implements GET /instances.
func (p *platform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	asOf := time.Now().Add(-listLag)
	var order []string
	current := make(map[string]listed)
	p.mu.Lock()
	down := p.down
	for _, c := range p.history {
		if c.at.After(asOf) {
			continue
		}
		if _, known := current[c.entry.ID]; !known {
			order = append(order, c.entry.ID)
		}
		current[c.entry.ID] = c.entry
	}
	p.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := []listed{}
	for _, id := range order {
		list = append(list, current[id])
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next-token": nil})
}

// backend is a server of a service. It can start again under its id and address.
type backend struct {
	fleet   *fleet
	id      string
	service string
	// address is the one in the list, of the link if there is one, and listenAt the server's.
	address  string
	listenAt string
	// link is in front of the server; nil if nothing is.
	link *link
	// streams says that requests get event streams.
	streams bool
	// eventInterval is the time between two events; 0 stands for the usual one.
	eventInterval time.Duration
	// firstEvent is the time until the first event, beside eventInterval.
	firstEvent time.Duration
	// onRun is called when a request begins to run.
	onRun func(b *backend, r *http.Request)
	// crashesUnder reports whether the server crashes as it begins to answer a request; nil
	// stands for never.
	crashesUnder func(r *http.Request) bool

	mu      sync.Mutex
	version string
	server  *http.Server
	running int
	runs    int
	leaving bool
}

const (
	slots         = 64
	eventInterval = 40 * time.Millisecond
	eventCount    = 60
	plainWork     = 20 * time.Millisecond
)

// newBackend starts a server, behind a link if linked is set, and lists it.
func newBackend(f *fleet, id, service, version string, streams, linked bool, onRun func(*backend, *http.Request)) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{fleet: f, id: id, service: service, listenAt: listener.Addr().String(), streams: streams, onRun: onRun}
	b.address = b.listenAt
	if linked {
		b.link, err = newLink("127.0.0.1:0", b.listenAt)
		if err != nil {
			return nil, err
		}
		b.address = b.link.address
	}
	b.serve(listener, version)
	return b, nil
}

// serve begins a run of the server with a version, and lists it.
func (b *backend) serve(listener net.Listener, version string) {
	b.mu.Lock()
	b.version = version
	b.running = 0
	b.server = &http.Server{Handler: b}
	server := b.server
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	b.fleet.platform.set(b.entry(version))
}

// entry returns the entry of the list for a run that begins now.
func (b *backend) entry(version string) listed {
	return listed{ID: b.id, Service: b.service, Address: b.address, Zone: zone, Version: version, Slots: slots, State: "ready", Born: time.Now().UnixMilli()}
}

// setLeaving makes the server say in its answers that it leaves.
func (b *backend) setLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

// isLeaving reports whether the server says that it leaves.
func (b *backend) isLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// crash ends all connections of the server and its listener.
func (b *backend) crash() {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	_ = server.Close()
}

// restart starts the server again under its id and address.
func (b *backend) restart(version string) error {
	listener, err := net.Listen("tcp", b.listenAt)
	if err != nil {
		return err
	}
	b.serve(listener, version)
	return nil
}

// enter counts a request that begins to run.
func (b *backend) enter() (run, running int, version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs++
	b.running++
	return b.runs, b.running, b.version
}

func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// ServeHTTP runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Cactusbay-Instance-Id", b.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	header := w.Header()
	header.Set("X-Cactusbay-Attempt-Id", r.Header.Get("X-Cactusbay-Attempt-Id"))
	expected := r.Header.Get("X-Cactusbay-Expect-Instance")
	if expected != "" && expected != b.id {
		header.Set("X-Cactusbay-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run, running, version := b.enter()
	defer b.leave()
	if b.onRun != nil {
		b.onRun(b, r)
	}
	if b.crashesUnder != nil && b.crashesUnder(r) {
		time.Sleep(b.firstEvent + b.interval())
		b.crash()
		return
	}
	header.Set("X-Cactusbay-Server-Stamp", fmt.Sprintf("%s.%s.%d", b.id, version, run))
	if b.isLeaving() {
		header.Set("Server-Leaving", "1")
	}
	header.Set("X-Cactusbay-Server-Load", fmt.Sprintf("%d,0,%d", running, slots))
	if b.streams {
		b.stream(w, r, version)
		return
	}
	time.Sleep(plainWork)
	text := b.service + " " + b.id + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// interval is the time between two events.
func (b *backend) interval() time.Duration {
	if b.eventInterval > 0 {
		return b.eventInterval
	}
	return eventInterval
}

// stream sends the events after the one that the request names, each with the version.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, version string) {
	time.Sleep(b.firstEvent)
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		first, _ = strconv.Atoi(last)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for number := first + 1; number <= eventCount; number++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(b.interval()):
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", number, number, version)
		if err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
