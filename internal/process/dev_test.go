package process_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/freeport"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// TestDevLeavesNoGoroutine guards against goroutines that outlive a shutdown: it
// starts a development site over TCP, sends one request and shuts the site down.
func TestDevLeavesNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t)
	folder := t.TempDir()
	opened, err := disk.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	free, err := freeport.Block(10, 11, 12, 13)
	if err != nil {
		t.Fatal(err)
	}
	addresses, err := process.DevAddressesFor(free.String())
	if err != nil {
		t.Fatal(err)
	}
	dev, err := process.StartDev(addresses, folder, process.Environment{
		Network:   transport.TCP{},
		Folder:    opened,
		Telemetry: observe.Discard(),
		Check:     &invariant.Checker{Fatal: func(err error) { t.Error(err) }},
	})
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+addresses.Entry+"/services/records/one", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+process.DevKey)
	client := transport.Client(transport.TCP{})
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", response.StatusCode)
	}
	client.CloseIdleConnections()
	dev.Shutdown(context.Background())
}
