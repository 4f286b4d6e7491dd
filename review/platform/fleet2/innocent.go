package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The times of runInnocent.
const (
	quietRouteInterval = 500 * time.Millisecond
	busyRouteInterval  = 150 * time.Millisecond
	quietBefore        = 14 * time.Second
	quietPoison        = 1200 * time.Millisecond
	quietPause         = 9 * time.Second
	quietDown          = 3 * time.Second
	quietAfter         = 32 * time.Second
)

// soundPart is the first part of all prompts of the quiet route.
const soundPart = "5c1e07a2"

// runInnocent restarts the entries, and then sends requests with a part that crashes servers on a
// route that was quiet for some seconds, beside a busy route.
func runInnocent(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	var crashes []time.Time
	began := make(map[string]bool)
	note := noteRun(f)
	servers, err := runServers(f, 5, true, false, func(b *backend, r *http.Request) {
		note(b, r)
		mu.Lock()
		defer mu.Unlock()
		began[r.Header.Get("X-Cactusbay-Attempt-Id")] = true
	}, "svc-x")
	if err != nil {
		return false, err
	}
	for _, b := range servers {
		b.firstEvent = 100 * time.Millisecond
		b.eventInterval = 20 * time.Millisecond
		b.crashesUnder = func(r *http.Request) bool {
			if !strings.Contains(r.Header.Get("X-Cactusbay-Prompt-Prefix"), poisonPart+":") {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			f.log("%s crashes under %s", b.id, r.Header.Get("X-Cactusbay-Attempt-Id"))
			time.AfterFunc(quietDown, func() { _ = b.restart("v1") })
			return true
		}
	}
	quiet := strings.ReplaceAll(routeJSON("r-1", host, "/draft/", "streaming", "svc-x", true, 5000), `"sticky":false`, `"sticky":true`)
	busy := strings.ReplaceAll(routeJSON("r-2", host, "/chat/", "streaming", "svc-x", true, 5000), `"sticky":false`, `"sticky":true`)
	configuration := fmt.Sprintf(`{"version":1,"routes":[%s,%s],"services":[{"name":"svc-x","health-path":"/healthz","max-connections":100,"engine":{"slots":64,"kv-capacity-tokens":444000,"stride":1,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}`, quiet, busy)
	entries := 2
	err = f.start(entries, configuration)
	if err != nil {
		return false, err
	}
	type sentAt struct {
		at     time.Time
		status int
	}
	sent := make(map[string]sentAt)
	var clients sync.WaitGroup
	send := func(kind, path, prefix string, interval time.Duration, stop <-chan struct{}) {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(interval/2 + rand.N(interval)):
			}
			clients.Go(func() {
				id := fmt.Sprintf("%s-%d", kind, number)
				a := f.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, number%entries, request{method: http.MethodPost, host: host, path: path, id: id, deadline: 5 * time.Second, header: map[string]string{
					"X-Cactusbay-Model": "m", "X-Cactusbay-Token-Usage": "100,60", "X-Cactusbay-Prompt-Prefix": fmt.Sprintf("%s,%x:20", prefix, 0x100000+rand.IntN(1<<20))}})
				f.note("client: %s: %d, %d events %v", id, a.status, strings.Count(a.body, "\n\n"), a.err)
				mu.Lock()
				sent[id] = sentAt{a.sent, a.status}
				mu.Unlock()
			})
		}
	}
	all, first := make(chan struct{}), make(chan struct{})
	clients.Go(func() { send("busy", "/chat/1", "77aa01:50", busyRouteInterval, all) })
	clients.Go(func() { send("before", "/draft/1", soundPart+":60", quietRouteInterval, first) })
	time.Sleep(quietBefore)
	close(first)
	time.Sleep(time.Second)
	for number := range entries {
		f.log("%s is stopped and started", entryName(number))
		c := f.processes[entryName(number)]
		_ = c.process.Signal(syscall.SIGTERM)
		<-c.done
		err = f.startProcess("entry", entryName(number), f.entrySettings(number))
		if err != nil {
			return false, err
		}
		for !f.isReady(number) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contactTime)
	poisonBegan := time.Now()
	f.log("the quiet route is used again")
	if trouble {
		clients.Go(func() { send("poison", "/draft/1", soundPart+":60,"+poisonPart+":20", quietPoison, all) })
	}
	time.Sleep(quietPause)
	clients.Go(func() { send("after", "/draft/1", soundPart+":60", quietRouteInterval, all) })
	time.Sleep(quietAfter)
	close(all)
	clients.Wait()
	judged := poisonBegan
	if len(crashes) > 0 {
		judged = crashes[min(len(crashes), 5)-1].Add(2 * contactTime)
	}
	counts := make(map[string][2]int)
	for id, s := range sent {
		kind, _, _ := strings.Cut(id, "-")
		if kind == "after" && s.at.Before(judged) {
			continue
		}
		c := counts[kind]
		c[0]++
		if began[id] {
			c[1]++
		}
		counts[kind] = c
	}
	f.log("%d crashes; sent and begun: %v", len(crashes), counts)
	before, after := counts["before"], counts["after"]
	if before[0] < 20 || after[0] < 20 {
		return false, fmt.Errorf("too few sound requests: %v", counts)
	}
	return 2*after[1]*before[0] >= after[0]*before[1], nil
}
