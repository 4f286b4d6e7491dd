package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const host = "reports.example"

// routeJSON returns a route of a configuration.
func routeJSON(name, routeHost, prefix, kind, service string, resumable bool, timeout int) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path-prefix":%q,"kind":%q,"timeout-ms":%d,"target-latency-ms":400,"priority":0,"service":%q,"max-attempts":2,"public":true,"sticky":false,"resumable":%t,"gap-target-ms":300}`, name, routeHost, prefix, kind, timeout, service, resumable)
}

// configurationJSON returns a configuration with two services.
func configurationJSON(version int, routes ...string) string {
	services := ""
	for i, name := range []string{"svc-x", "svc-y"} {
		if i > 0 {
			services += ","
		}
		services += fmt.Sprintf(`{"name":%q,"health-path":"/healthz","max-connections":100,"protocol":"h1","tls":false}`, name)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}`, version, strings.Join(routes, ","), services)
}

// noteRun writes to the record that a request begins to run.
func noteRun(f *fleet) func(*backend, *http.Request) {
	return func(b *backend, r *http.Request) {
		f.note("server %s (%s) runs %s %s", b.id, b.service, r.Header.Get("X-Cactusbay-Attempt-Id"), r.URL.Path)
	}
}

// runServers starts count servers for each of the services.
func runServers(f *fleet, count int, streams, linked bool, onRun func(*backend, *http.Request), services ...string) ([]*backend, error) {
	var servers []*backend
	for _, service := range services {
		for number := range count {
			b, err := newBackend(f, fmt.Sprintf("i-%s-%d", service, number+1), service, "v1", streams, linked, onRun)
			if err != nil {
				return nil, err
			}
			servers = append(servers, b)
		}
	}
	return servers, nil
}

// invalidConfiguration is a configuration that the pages call invalid.
type invalidConfiguration struct {
	why    string
	routes []string
}

// runInvalid sends configurations with a route that names an unknown service, and with two routes
// of the same host and prefix.
func runInvalid(f *fleet, trouble bool) (bool, error) {
	_, err := runServers(f, 1, false, false, noteRun(f), "svc-x", "svc-y")
	if err != nil {
		return false, err
	}
	sound := routeJSON("r-1", host, "/a/", "idempotent", "svc-x", false, 1200)
	err = f.start(1, configurationJSON(1, sound))
	if err != nil {
		return false, err
	}
	split := strings.Replace(routeJSON("r-2", "other.example", "/a/", "idempotent", "svc-gone", false, 1200), `"max-attempts"`, `"traffic-split":[{"service":"svc-y","weight":1}],"max-attempts"`, 1)
	invalid := []invalidConfiguration{
		{"a route names the unknown service svc-gone, and a split of its traffic", []string{sound, split}},
		{"two routes have the same prefix and the same host, in upper and lower case", []string{sound, routeJSON("r-2", "Reports.Example", "/a/", "idempotent", "svc-y", false, 1200)}},
	}
	if !trouble {
		invalid = []invalidConfiguration{
			{"nothing is wrong", []string{sound, strings.Replace(split, "svc-gone", "svc-x", 1)}},
			{"nothing is wrong", []string{sound, routeJSON("r-2", "Other.Example", "/a/", "idempotent", "svc-y", false, 1200)}},
		}
	}
	refused := 0
	for i, c := range invalid {
		status := f.put(i, configurationJSON(2+i, c.routes...))
		f.log("configuration %d (%s): status %d", 2+i, c.why, status)
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			refused++
		}
		time.Sleep(applyTime)
		a := f.send(&http.Client{}, 0, request{method: http.MethodGet, host: host, path: "/a/1", id: fmt.Sprintf("a-%d", i), deadline: 2 * time.Second})
		f.log("client: GET %s/a/1: %d %s %v", host, a.status, strings.TrimSpace(a.body), a.err)
	}
	if !trouble {
		return refused == 0, nil
	}
	return refused == len(invalid), nil
}

// The moments of runStaleRelay after the cut of the second entry.
const (
	pathLostAfter = 1500 * time.Millisecond
	cutTime       = 8 * time.Second
	sendInterval  = 50 * time.Millisecond
	// rollbackSlack is rollback-slack-ms.
	rollbackSlack = 250 * time.Millisecond
)

// relayRun is a run of a request of the moved route.
type relayRun struct {
	service string
	tenant  string
	at      time.Time
}

// runStaleRelay cuts one entry from the control instances, moves a route, and lets another entry,
// which has the new configuration, lose its path to the servers.
func runStaleRelay(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	runs := make(map[string]relayRun)
	onRun := func(b *backend, r *http.Request) {
		id := r.Header.Get("X-Cactusbay-Attempt-Id")
		tenant := r.Header.Get("X-Cactusbay-Tenant")
		f.note("server %s of %s runs %s %s for tenant %s", b.id, b.service, id, r.URL.Path, tenant)
		mu.Lock()
		defer mu.Unlock()
		runs[id] = relayRun{service: b.service, tenant: tenant, at: time.Now()}
	}
	servers, err := runServers(f, 2, false, true, onRun, "svc-x", "svc-y")
	if err != nil {
		return false, err
	}
	// The second configuration moves the route, and the clients' key to another tenant.
	keep := routeJSON("r-keep", host, "/keep/", "idempotent", "svc-y", false, 1200)
	old := configurationJSON(1, keep, routeJSON("r-move", host, "/move/", "idempotent", "svc-x", false, 1200))
	moved := configurationJSON(2, keep, routeJSON("r-move", host, "/move/", "idempotent", "svc-y", false, 1200))
	old = withTenants(old, `{"name":"t-old","api-keys":["k1"]}`)
	moved = withTenants(moved, `{"name":"t-old","api-keys":["k2"]},{"name":"t-new","api-keys":["k1"]}`)
	err = f.start(2, old)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sentMu sync.Mutex
	answers := make(map[string]answer)
	for entry := range 2 {
		for _, path := range []string{"/keep/1", "/move/1"} {
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for number := 0; ; number++ {
					select {
					case <-stop:
						return
					case <-time.After(sendInterval):
					}
					id := fmt.Sprintf("e%d-%s-%d", entry+1, strings.Split(path, "/")[1], number)
					a := f.send(client, entry, request{method: http.MethodGet, host: host, path: path, id: id, deadline: 2500 * time.Millisecond, header: map[string]string{"X-Cactusbay-Key": "k1"}})
					f.note("client: %s sent to entry %d: %d %s %v", id, entry+1, a.status, strings.TrimSpace(a.body), a.err)
					sentMu.Lock()
					answers[id] = a
					sentMu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second)
	if trouble {
		f.log("entry 2 is cut off from the control instances")
		for _, l := range f.controlLinks {
			l.holdMark([]byte(entryName(1)))
		}
	}
	cutAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	status := f.put(0, moved)
	acknowledged := time.Now()
	f.log("configuration 2, which moves /move/ from svc-x to svc-y: status %d", status)
	if status != http.StatusOK {
		return false, fmt.Errorf("configuration 2 was not acknowledged: %d", status)
	}
	time.Sleep(time.Until(cutAt.Add(pathLostAfter)))
	if trouble {
		f.log("entry 1 loses its path to all servers")
		for _, b := range servers {
			b.link.holdHost(f.entryHost(0), true)
		}
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	close(stop)
	clients.Wait()
	for _, b := range servers {
		b.link.holdHost(f.entryHost(0), false)
	}
	for _, l := range f.controlLinks {
		l.holdMark(nil)
	}
	// effect is when a server first saw the new configuration through entry 1.
	var effect time.Time
	for id, run := range runs {
		if strings.HasPrefix(id, "e1-move-") && run.service == "svc-y" && (effect.IsZero() || run.at.Before(effect)) {
			effect = run.at
		}
	}
	if effect.IsZero() {
		return false, errors.New("entry 1 never had the new configuration")
	}
	late, regressed, foreign := 0, 0, 0
	for id, a := range answers {
		run, ran := runs[id]
		if strings.HasPrefix(id, "e1-") && ran && run.tenant == "t-old" && a.sent.After(acknowledged.Add(applyTime)) {
			foreign++
		}
		if !strings.HasPrefix(id, "e1-move-") || !ran || run.service != "svc-x" {
			continue
		}
		if a.sent.After(acknowledged.Add(applyTime)) {
			late++
		}
		if a.sent.After(effect.Add(rollbackSlack)) {
			regressed++
		}
	}
	f.log("acknowledged at %.3f s; svc-y first ran a request for /move/ through entry 1 at %.3f s", acknowledged.Sub(f.started).Seconds(), effect.Sub(f.started).Seconds())
	f.log("requests for /move/ that clients sent to entry 1 more than %s after that, and that svc-x ran: %d", rollbackSlack, regressed)
	f.log("the same, sent later than %s after the acknowledgement: %d", applyTime, late)
	f.log("requests that clients sent to entry 1 as late, with the key of t-new, and that a server ran for t-old: %d", foreign)
	return regressed == 0, nil
}

// withTenants returns a configuration with tenants, and with routes that require a key.
func withTenants(configuration, tenants string) string {
	configuration = strings.ReplaceAll(configuration, `"public":true`, `"public":false`)
	return strings.Replace(configuration, `"tenants":[]`, `"tenants":[`+tenants+`]`, 1)
}

// The times of runInPlace.
const (
	streamClients = 10
	restartPause  = 300 * time.Millisecond
	releaseGap    = 700 * time.Millisecond
	releaseStart  = 3 * time.Second
	streamTimeout = 8 * time.Second
)

// runInPlace crashes the servers of a service one after the other. Each starts again with a newer
// version, under the id and the address that it had.
func runInPlace(f *fleet, trouble bool) (bool, error) {
	servers, err := runServers(f, 4, true, false, noteRun(f), "svc-x")
	if err != nil {
		return false, err
	}
	err = f.start(1, configurationJSON(1, routeJSON("r-1", host, "/draft/", "streaming", "svc-x", true, 8000)))
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	for client := range streamClients {
		clients.Go(func() {
			httpClient := &http.Client{Transport: &http.Transport{}}
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("s%d-%d", client+1, number)
				a := f.send(httpClient, 0, request{method: http.MethodGet, host: host, path: "/draft/1", id: id, deadline: streamTimeout})
				kind := judgeStream(a)
				f.note("client: stream %s: %d, %d events, stamp %s: %s %v", id, a.status, strings.Count(a.body, "\n\n"), a.stamp, kind, a.err)
				mu.Lock()
				counts[kind]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(releaseStart)
	for _, b := range servers {
		if !trouble {
			break
		}
		f.log("server %s ends", b.id)
		b.crash()
		time.Sleep(restartPause)
		err := b.restart("v2")
		if err != nil {
			return false, err
		}
		f.log("server %s starts again under its id with version v2", b.id)
		time.Sleep(releaseGap)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	f.log("streams: %v", counts)
	if counts["whole"] == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return counts["joined"] == 0, nil
}

// judgeStream tells how a stream ended: whole, joined from two versions, or not whole.
func judgeStream(a answer) string {
	old := strings.Contains(a.body, "of v1\n")
	newer := strings.Contains(a.body, "of v2\n")
	switch {
	case old && newer:
		return "joined"
	case a.err != nil || a.status != http.StatusOK || !strings.Contains(a.body, fmt.Sprintf("id: %d\n", eventCount)):
		return "not whole"
	default:
		return "whole"
	}
}
