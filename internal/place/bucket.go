package place

import "time"

// bucket is a token bucket whose rate and capacity its user knows. Its zero value is empty.
type bucket struct {
	// tokens is the number of requests that may be sent, as of filledAt.
	tokens   float64
	filledAt time.Time
}

// fill adds the tokens since the last call.
func (b *bucket) fill(rate, capacity float64, now time.Time) {
	elapsed := max(0, now.Sub(b.filledAt).Seconds())
	b.tokens = min(capacity, b.tokens+float64(rate*elapsed))
	b.filledAt = now
}

// wait returns how long no request may be sent, as of the last fill: 0 if one may be sent,
// and forever if the rate is 0.
func (b *bucket) wait(rate float64, forever time.Duration) time.Duration {
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	if rate == 0 {
		return forever
	}
	return time.Duration(missing/rate*float64(time.Second)) + time.Millisecond
}
