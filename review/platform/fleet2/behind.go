package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The times of runBehind.
const (
	behindTimeout = 2500
	// behindTime is longer than the time for which an entry considers earlier routes of a stream.
	behindTime    = 8 * time.Second
	behindStreams = 8
	// brokenAfter is the number of events after which the connections break.
	brokenAfter = 8
)

// runBehind moves a route while one entry is cut off from the control instances, lets streams begin
// there by the old route, ends that entry, and lets the clients take the streams up at the other one.
func runBehind(f *fleet, trouble bool) (bool, error) {
	for _, service := range []string{"svc-x", "svc-y"} {
		for number := range 2 {
			version := map[string]string{"svc-x": "v1", "svc-y": "v2"}[service]
			_, err := newBackend(f, fmt.Sprintf("i-%s-%d", service, number+1), service, version, true, false, noteRun(f))
			if err != nil {
				return false, err
			}
		}
	}
	route := func(version int, service string) string {
		return configurationJSON(version, routeJSON("r-1", host, "/draft/", "streaming", service, true, behindTimeout))
	}
	err := f.start(2, route(1, "svc-x"))
	if err != nil {
		return false, err
	}
	if trouble {
		f.log("entry 2 is cut off from the control instances")
		for _, l := range f.controlLinks {
			l.holdMark([]byte(entryName(1)))
		}
	}
	time.Sleep(200 * time.Millisecond)
	status := f.put(0, route(2, "svc-y"))
	f.log("configuration 2, which moves /draft/ from svc-x (v1) to svc-y (v2): status %d", status)
	time.Sleep(behindTime)
	var begun, tried sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	for number := range behindStreams {
		begun.Add(1)
		tried.Go(func() {
			first, last := f.beginStream(fmt.Sprintf("b%d-1", number), begun.Done)
			if last == 0 {
				return
			}
			a := f.send(&http.Client{}, 0, request{method: http.MethodGet, host: host, path: "/draft/1", id: fmt.Sprintf("b%d-2", number), deadline: behindTimeout * time.Millisecond,
				header: map[string]string{"Last-Event-Id": fmt.Sprint(last)}})
			a.body = first + a.body
			kind := judgeStream(a)
			f.log("client: stream %d, %d events at entry 2, taken up at entry 1: %d %s", number, last, a.status, kind)
			mu.Lock()
			counts[kind]++
			mu.Unlock()
		})
	}
	begun.Wait()
	f.log("entry 2 ends")
	_ = f.processes[entryName(1)].process.Signal(syscall.SIGKILL)
	tried.Wait()
	f.log("streams: %v", counts)
	if len(counts) == 0 {
		return false, errors.New("no stream began")
	}
	return counts["joined"] == 0, nil
}

// beginStream begins a stream at the second entry and reads it until it breaks off. It calls begun
// after some events, and returns the whole events and the id of the last one.
func (f *fleet) beginStream(id string, begun func()) (events string, last int) {
	var once sync.Once
	defer once.Do(begun)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/draft/1", f.entryHost(1), callerPort), nil)
	if err != nil {
		return "", 0
	}
	r.Host = host
	r.Header.Set("X-Cactusbay-Attempt-Id", id)
	r.Header.Set("X-Cactusbay-Deadline-Ms", fmt.Sprint(behindTimeout))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return "", 0
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	event := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return events, last
		}
		event += line
		if line != "\n" {
			continue
		}
		_, _ = fmt.Sscanf(event, "id: %d", &last)
		events += event
		event = ""
		if strings.Count(events, "\n\n") == brokenAfter {
			once.Do(begun)
		}
	}
}
