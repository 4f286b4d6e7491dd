package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// operatorTimeout is how long the operator waits for a response: a second without one makes
// it move on to another node.
const operatorTimeout = time.Second

// Names in the configuration.
const (
	routeHost    = "ficu95.example"
	modelService = "huvo11a"
	plainService = "wuno96b"
	tenantName   = "hule930"
	tenantKey    = "n2ctnfzs989anu6wsjnb"
)

// configuration returns a configuration with a resumable stream, an order and a lookup.
func configuration(version int, prepaid int64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-stream", "host": routeHost, "path-prefix": "/stream/", "kind": "streaming", "timeout-ms": 10000, "target-latency-ms": 600, "priority": 1, "service": modelService, "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-target-ms": 300},
			{"name": "r-order", "host": routeHost, "path-prefix": "/order/", "kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 2, "service": plainService, "max-attempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-lookup", "host": routeHost, "path-prefix": "/lookup/", "kind": "idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 2, "service": plainService, "max-attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []map[string]any{
			{"name": modelService, "health-path": "/healthz", "max-connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv-capacity-tokens": 444000, "kv-bytes": 131072, "link-mbps": 550000.0, "stride": 8, "models": []map[string]any{{"name": "m"}}}},
			{"name": plainService, "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenantName, "api-keys": []string{tenantKey}, "priority": 1, "prepaid": prepaid}},
	}
}

// put sends a configuration to the control instances in turn, like an operator that picks
// another one after a failure, until it is acknowledged or limit has passed. It returns the
// number of tries.
func (s *site) put(document map[string]any, limit time.Duration) (acknowledged bool, tries int) {
	data, err := json.Marshal(document)
	if err != nil {
		s.log("encode configuration: %v", err)
		return false, 0
	}
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	pause := 100 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); tries++ {
		address := s.operatorAddress(s.operators[tries%len(s.operators)])
		status, text := s.call(client, http.MethodPut, address, data)
		s.log("operator: PUT version %v at %s: %d %s", document["version"], address, status, text)
		if status == http.StatusOK {
			return true, tries + 1
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false, tries
}

// call makes one call of the operator's interface; the status is 0 without a response.
func (s *site) call(client *http.Client, method, address string, data []byte) (status int, text string) {
	request, err := http.NewRequest(method, "http://"+address+"/api/configuration", bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, strings.TrimSpace(string(body))
}

// readBack reads the configuration at the control instances in turn for the given time and
// returns the number of answers that hold one.
func (s *site) readBack(limit time.Duration) int {
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	found := 0
	for end, tries := time.Now().Add(limit), 0; time.Now().Before(end); tries++ {
		address := s.operatorAddress(s.operators[tries%len(s.operators)])
		status, text := s.call(client, http.MethodGet, address, nil)
		s.log("operator: GET at %s: %d, %.40s", address, status, text)
		if status == http.StatusOK {
			found++
		}
		time.Sleep(200 * time.Millisecond)
	}
	return found
}
