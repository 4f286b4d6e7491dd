package transport

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// fresh is a RoundTripper that drops its idle connections after a timeout.
type fresh struct {
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (f *fresh) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := f.next.RoundTrip(request)
	if err != nil && errors.Is(request.Context().Err(), context.DeadlineExceeded) {
		f.next.CloseIdleConnections()
	}
	return response, err
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (f *fresh) CloseIdleConnections() {
	f.next.CloseIdleConnections()
}
