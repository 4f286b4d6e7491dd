package process

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
)

const (
	// Limits of requests if the configuration sets none.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultHeaderBytes   = 64 << 10
	// headerSlack is what may arrive together with a header: a part of its body.
	headerSlack = 4 << 10
	// lateReadTimeout is how long a connection whose time is over stays open if bytes have
	// arrived that the process hasn't read in time.
	lateReadTimeout = time.Second
	// headerTooLarge is the response to a header over the limit.
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 17\r\nConnection: close\r\n\r\nheader_too_large\n"
)

// requestLimits bounds what callers may send before a request is served, and how long they may
// take. Zero stands for a default.
type requestLimits struct {
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a header to its end.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
}

// limitsOf returns the limits of a configuration.
func limitsOf(l config.Limits) requestLimits {
	return requestLimits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout.Or(0), IdleTimeout: l.IdleTimeout.Or(0)}
}

// orDefaults returns the limits with the defaults in place of zeros.
func (l requestLimits) orDefaults() requestLimits {
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// firstByteTimeout returns how long a new connection may send nothing.
func (l requestLimits) firstByteTimeout() time.Duration {
	return max(l.HeaderTimeout, defaultHeaderTimeout)
}
