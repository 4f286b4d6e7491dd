package process_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// freeAddress returns a loopback address whose port and the ports directly above
// it are most likely free.
func freeAddress(t *testing.T) string {
	listener, err := transport.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	if address.Port() > 60_000 {
		address = netip.AddrPortFrom(address.Addr(), address.Port()-1_000)
	}
	return address.String()
}

// TestDevLeavesNoGoroutine guards against goroutines that outlive a shutdown: it
// starts a development site over TCP, sends one request and shuts the site down.
func TestDevLeavesNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t)
	folder := t.TempDir()
	opened, err := disk.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	addresses, err := process.DevAddressesFor(freeAddress(t))
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
