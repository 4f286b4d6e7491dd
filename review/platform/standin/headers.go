package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Values of the case headers.
const (
	// configApply is config-apply-ms, with a margin.
	configApply = 3 * time.Second
	// raisedHeaderBytes is the limit of the second configuration, and the numbers of parts
	// give headers of some 9 KB and 100 KB.
	raisedHeaderBytes = 131072
	fewParts          = 800
	manyParts         = 9000
	headerRequests    = 30
	// maxDenied is the rule's allowance: five, and one in 500 of all.
	maxDenied = 5 + headerRequests/500
)

// playHeaders raises the limit of what clients may send in headers, and sends requests whose
// prompts have so many parts that only the new limit allows them.
func playHeaders(s *site, trouble bool) (string, error) {
	for number := range 3 {
		_, err := s.newServer(modelService, number)
		if err != nil {
			return "", err
		}
	}
	err := s.startAll(2)
	if err != nil {
		return "", err
	}
	document := configuration(7, 1_000_000_000)
	acknowledged, _ := s.put(document, 20*time.Second)
	if !acknowledged {
		return "", fmt.Errorf("the first configuration was not acknowledged")
	}
	for number := range 2 {
		err = s.waitReady(number, 10*time.Second)
		if err != nil {
			return "", err
		}
	}
	parts := fewParts
	if trouble {
		document = configuration(9, 1_000_000_000)
		document["limits"] = map[string]any{"max-header-bytes": raisedHeaderBytes, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
		acknowledged, _ = s.put(document, 20*time.Second)
		if !acknowledged {
			return "", fmt.Errorf("the second configuration was not acknowledged")
		}
		parts = manyParts
	}
	time.Sleep(configApply)
	denied := 0
	for number := range headerRequests {
		a := s.send(request{entry: number % 2, method: http.MethodPost, path: fmt.Sprintf("/stream/%d", number), body: "prompt", deadline: 10 * time.Second, tokens: fmt.Sprintf("%d,80", parts), prefix: promptOf(number, parts)})
		if a.status >= 300 && a.status < 500 {
			denied++
		}
	}
	s.log("%d of %d requests got a 3xx or 4xx", denied, headerRequests)
	if denied > maxDenied {
		return fmt.Sprintf("%d of %d proper requests, with headers within max-header-bytes of the configuration in force, were ended with a 4xx", denied, headerRequests), nil
	}
	return "", nil
}

// promptOf returns the header that lists the parts of a prompt, of one token each. The last
// one belongs to the request itself.
func promptOf(number, parts int) string {
	var text strings.Builder
	for part := range parts - 1 {
		_, _ = fmt.Fprintf(&text, "%08x:1,", 0x5c1e0000+part)
	}
	_, _ = fmt.Fprintf(&text, "%08x:1", 0x7c000000+number)
	return text.String()
}
