package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The mean times of runPoison. Each is drawn from half to one and a half of it.
const (
	poisonPart     = "dead1"
	soundInterval  = 8 * time.Second
	poisonInterval = time.Second
	downTime       = 4 * time.Second
	soundBefore    = 16 * time.Second
	poisonTime     = 40 * time.Second
	// promptTime is how long a server reads a prompt.
	promptTime = 300 * time.Millisecond
	tokenTime  = 60 * time.Millisecond
	// bearableCrashes is the number of crashes after which, later than contact-ms, no more than
	// bearableRequests may reach servers.
	bearableCrashes  = 5
	bearableRequests = 3
)

// runPoison sends requests with a part that crashes servers.
func runPoison(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	var reached, crashes []time.Time
	// draw returns a time from half to one and a half of the mean.
	draw := func(mean time.Duration) time.Duration {
		return mean/2 + rand.N(mean)
	}
	isPoison := func(r *http.Request) bool {
		return strings.Contains(r.Header.Get("X-Cactusbay-Prompt-Prefix"), poisonPart+":")
	}
	servers, err := runServers(f, 2, true, false, nil, "svc-x")
	if err != nil {
		return false, err
	}
	for _, b := range servers {
		b.firstEvent = promptTime
		b.eventInterval = tokenTime
		note := noteRun(f)
		b.onRun = func(b *backend, r *http.Request) {
			note(b, r)
			if isPoison(r) {
				mu.Lock()
				reached = append(reached, time.Now())
				mu.Unlock()
			}
		}
		b.crashesUnder = func(r *http.Request) bool {
			if !isPoison(r) {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			f.note("%s crashes", b.id)
			time.AfterFunc(draw(downTime), func() {
				err := b.restart("v1")
				f.note("%s is back: %v", b.id, err)
			})
			return true
		}
	}
	configuration := fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"svc-x","health-path":"/healthz","max-connections":100,"engine":{"slots":64,"kv-capacity-tokens":444000,"stride":1,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}`,
		strings.ReplaceAll(routeJSON("r-1", host, "/draft/", "streaming", "svc-x", true, 5000), `"sticky":false`, `"sticky":true`))
	entries := 2
	err = f.start(entries, configuration)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	counts := map[string]int{}
	send := func(kind string, interval time.Duration, part string) {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(draw(interval)):
			}
			clients.Go(func() {
				id := fmt.Sprintf("%s-%d", kind, number)
				a := f.send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, number%entries, request{method: http.MethodPost, host: host, path: "/draft/1", id: id, deadline: 5 * time.Second, header: map[string]string{
					"X-Cactusbay-Model": "m", "X-Cactusbay-Token-Usage": "100,60",
					"X-Cactusbay-Prompt-Prefix": fmt.Sprintf("5c1e07a2:60,%s%x:20", part, 0x1000+number)}})
				f.note("client: %s: %d %d events %v", id, a.status, strings.Count(a.body, "\n\n"), a.err)
				mu.Lock()
				if strings.Contains(a.body, "id: 60\n") {
					counts[kind+" served"]++
				}
				counts[kind+" sent"]++
				mu.Unlock()
			})
		}
	}
	clients.Go(func() { send("sound", soundInterval, "91bd3f06:20,") })
	time.Sleep(soundBefore)
	f.log("before: %v", counts)
	if trouble {
		clients.Go(func() {
			send("poison", poisonInterval, poisonPart+":20,")
		})
	}
	time.Sleep(poisonTime)
	close(stop)
	clients.Wait()
	f.log("after: %v", counts)
	late := 0
	for _, at := range reached {
		if len(crashes) >= bearableCrashes && at.After(crashes[bearableCrashes-1].Add(contactTime)) {
			late++
		}
	}
	f.log("%d crashes; %d requests with the part reached servers later than %s after the fifth crash", len(crashes), late, contactTime)
	return late <= bearableRequests, nil
}
