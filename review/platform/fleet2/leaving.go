package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The times of runLeaving.
const (
	// drainTime is drain-ms.
	drainTime   = 3 * time.Second
	leavingTime = 55 * time.Second
	// leavingEntries is the number of entries.
	leavingEntries = 4
)

// entryOf returns the number of the entry to which a request of runLeaving is sent.
func entryOf(id string) int {
	client := 0
	_, _ = fmt.Sscanf(id, "l%d-", &client)
	return (client - 1) % leavingEntries
}

// runLeaving makes a server say that it leaves while the platform's list can't be read.
func runLeaving(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	reached := make(map[string]time.Time)
	servers, err := runServers(f, 3, false, false, func(b *backend, r *http.Request) {
		if b.id != "i-svc-x-1" {
			return
		}
		id := r.Header.Get("X-Cactusbay-Attempt-Id")
		f.note("%s reaches %s", id, b.id)
		mu.Lock()
		defer mu.Unlock()
		reached[id] = time.Now()
	}, "svc-x")
	if err != nil {
		return false, err
	}
	err = f.start(leavingEntries, configurationJSON(1, routeJSON("r-1", host, "/a/", "idempotent", "svc-x", false, 1200)))
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := make(map[string]answer)
	for c := range 3 * leavingEntries {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				id := fmt.Sprintf("l%d-%d", c+1, number)
				a := f.send(client, c%leavingEntries, request{method: http.MethodGet, host: host, path: "/a/1", id: id, deadline: 2 * time.Second})
				f.note("client: %s: %d %s %v", id, a.status, strings.TrimSpace(a.body), a.err)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		f.log("the platform is down")
		f.platform.setDown(true)
	}
	time.Sleep(time.Second)
	f.log("%s says that it leaves", servers[0].id)
	servers[0].setLeaving(true)
	if !trouble {
		e := servers[0].entry("v1")
		e.State = "draining"
		f.platform.set(e)
	}
	time.Sleep(leavingTime)
	close(stop)
	clients.Wait()
	// passedOn is when each entry first passed on an answer that says so.
	passedOn := make(map[int]time.Time)
	for id, a := range answers {
		first, known := passedOn[entryOf(id)]
		if _, ran := reached[id]; ran && a.leaving && (!known || a.ended.Before(first)) {
			passedOn[entryOf(id)] = a.ended
		}
	}
	if len(passedOn) == 0 {
		return false, errors.New("no answer said that the server leaves")
	}
	late := 0
	for id, at := range reached {
		first, told := passedOn[entryOf(id)]
		if told && answers[id].sent.After(first.Add(drainTime)) {
			late++
			f.log("%s reaches the server that leaves %.3f s after its entry passed on an answer that said so", id, at.Sub(first).Seconds())
		}
	}
	f.log("requests sent later than %s after the first answer with Server-Leaving that reach its server: %d", drainTime, late)
	return late == 0, nil
}
