package quarantine

import "time"

// Peek returns what Remaining returns, but ends no quarantine that is over.
func (r *Registry) Peek(keys []Key, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest time.Duration
	for _, key := range keys {
		longest = max(longest, r.active[key].remaining(now))
	}
	return longest
}

// remaining returns how long the quarantine of a key still lasts; 0 if it is over, or if there
// is none.
func (r *record) remaining(now time.Time) time.Duration {
	if r == nil || r.quarantinedAt.IsZero() {
		return 0
	}
	return max(0, r.quarantinedAt.Add(Duration).Sub(now))
}
