package place

import "time"

// MarkDomainCold calls markDomainCold, for tests of several entries.
func (f *Fleet) MarkDomainCold(domain string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markDomainCold(domain, now)
}
