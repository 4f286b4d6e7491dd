package place

import (
	"cmp"
	"slices"
	"time"
)

// exchangedLoadAge is the age up to which a load report is sent to other entries.
const exchangedLoadAge = 500 * time.Millisecond

// LoadReport is the load that the server with the id Server stated to some entry, Age ago.
type LoadReport struct {
	Server string
	Load   Load
	Age    time.Duration
}

// FreshLoads returns at most limit of the latest loads of servers that are chosen by
// estimates, the newest first, to be sent to other entries.
func (f *Fleet) FreshLoads(limit int, now time.Time) []LoadReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []LoadReport
	for _, u := range f.upstreams {
		if !f.isAdaptive(u, now) {
			continue
		}
		for _, s := range u.servers {
			age := now.Sub(s.report.at)
			if age < exchangedLoadAge {
				reports = append(reports, LoadReport{Server: s.id, Load: s.report.load, Age: age})
			}
		}
	}
	slices.SortFunc(reports, func(a, b LoadReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server))
	})
	return reports[:min(limit, len(reports))]
}

// RecordRemoteLoad records the load that a server has stated to another entry. It ignores
// reports of unknown servers and those that are not newer than the last one. Where servers are
// not chosen by estimates, it also ignores reports without a slowdown, because choices there
// depend only on the loads that servers have stated to this entry.
func (f *Fleet) RecordRemoteLoad(r LoadReport, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[r.Server]
	at := now.Add(-max(0, r.Age))
	if s == nil || !at.After(s.report.at) {
		return
	}
	u := f.upstreamOf(s.upstream)
	if r.Load.Slowdown == 0 && !f.isAdaptive(u, now) {
		return
	}
	u.recordReport(s, r.Load, at)
}
