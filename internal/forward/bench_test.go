package forward_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// BenchmarkRequest measures the processor time of one request in the test
// process, which runs the caller, the entry and the backend server.
func BenchmarkRequest(b *testing.B) {
	responders := make([]responder, 0, 1<<20)
	for range cap(responders) {
		responders = append(responders, respond(200, signatureHeader, "done"))
	}
	f := newFixture(b, onceRoute, responders...)
	defer f.entry.Close()
	client := &http.Client{}
	before := processorTime(b)
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, f.entry.URL+"/a/x", strings.NewReader("work"))
		if err != nil {
			b.Fatal(err)
		}
		request.Host = "one.example"
		request.Header.Set("Id", "a1")
		request.Header.Set("Key", "secret")
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "processor-us/op")
}

// processorTime returns the user and system time that the process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
