package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/settings"
)

// TestRepeatedTerminationDoesNotEndTheShutdown guards against a supervisor that repeats
// SIGTERM and thereby cuts the requests in progress. An interrupt still ends the shutdown.
func TestRepeatedTerminationDoesNotEndTheShutdown(t *testing.T) {
	first, stopFirst := signal.NotifyContext(t.Context(), os.Interrupt, syscall.SIGTERM)
	defer stopFirst()
	sendSignal(t, syscall.SIGTERM)
	waitDone(t, first)
	shutdown, stop := newShutdownContext(&settings.Settings{})
	defer stop()
	sendSignal(t, syscall.SIGTERM)
	select {
	case <-shutdown.Done():
		t.Error("a second SIGTERM has ended the shutdown")
	case <-time.After(200 * time.Millisecond):
	}
	sendSignal(t, syscall.SIGINT)
	waitDone(t, shutdown)
}

// sendSignal sends a signal to the test's own process.
func sendSignal(t *testing.T, number syscall.Signal) {
	t.Helper()
	err := syscall.Kill(os.Getpid(), number)
	if err != nil {
		t.Fatal(err)
	}
}

// waitDone waits until a signal has ended ctx.
func waitDone(t *testing.T, ctx context.Context) {
	t.Helper()
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the signal did not end the context")
	}
}
