package place

import "time"

// outstandingRetryAfter is the retry delay where this entry has too many bytes at all servers.
// It is short because other entries may have fewer.
const outstandingRetryAfter = 50 * time.Millisecond

// outstandingWait returns how long the server takes no request with a body of the given size,
// because this entry has too many bytes of bodies there; 0 if it takes one now. A body that
// exceeds the bound alone is sent while there is no other. mu is held.
func (f *Fleet) outstandingWait(s *server, bytes int64) time.Duration {
	if f.MaxServerBytes == 0 || bytes == 0 || s.outstandingBytes == 0 || s.outstandingBytes+bytes <= f.MaxServerBytes {
		return 0
	}
	return outstandingRetryAfter
}
