package place

import (
	"hash/fnv"
	"slices"
)

const (
	// groupOversize is the part of the servers in the group of a segment, divided by the
	// segment's part of the prompts. With smaller groups, more requests go to servers outside
	// of the group while the segment is used more than usual.
	groupOversize = 5
	// minGroup is the number of servers in the smallest group.
	minGroup = 4
	// maxFirstSegments is the number of counted prompts at which all counts are halved.
	maxFirstSegments = 4096
)

// firstSegments counts the recent prompts of an upstream by the first segment of their
// prefix. Its zero value is empty.
type firstSegments struct {
	// counts holds the prompts by segment id, and total is their sum.
	counts map[uint64]float64
	total  float64
}

// record counts a prompt.
func (f *firstSegments) record(prefix []PrefixSegment) {
	if len(prefix) == 0 {
		return
	}
	if f.counts == nil {
		f.counts = make(map[uint64]float64)
	}
	f.counts[prefix[0].ID]++
	f.total++
	if f.total >= maxFirstSegments {
		f.halve()
	}
}

// halve halves all counts and drops those of segments that were used once.
func (f *firstSegments) halve() {
	f.total = 0
	for id, count := range f.counts {
		if count < 2 {
			delete(f.counts, id)
			continue
		}
		f.counts[id] = count / 2
		f.total += count / 2
	}
}

// groupSize returns how many of the given number of servers are the group of a segment. It
// is minGroup times a power of two, or all, so that entries with slightly different counts
// agree. A segment that was not seen before counts as seen once.
func (f *firstSegments) groupSize(segment uint64, servers int) int {
	share := (f.counts[segment] + 1) / (f.total + 1)
	wanted := groupOversize * share * float64(servers)
	size := minGroup
	for size < servers && float64(size) < wanted {
		size *= 2
	}
	return min(size, servers)
}

// mayPrefer reports whether a server may be the preferred one of a prompt; mu is held.
func (f *Fleet) mayPrefer(s *server, q *Query) bool {
	return !s.leaving && !f.isEvacuated(s) && !s.isEjected(q.Now) && !f.isTooEarlyToPrefer(s, q.Now) &&
		q.Version.allows(s.version) && q.Regions.Allows(s.region)
}

// preferred returns the server with the highest rendezvous weight for the last segment of the
// prompt's prefix, or nil. Where servers are chosen by estimates, only the group of the first
// segment is considered. All entries compute the same server; with groups, as far as they have
// counted the same prompts. mu is held.
func (f *Fleet) preferred(u *upstreamState, q *Query) *server {
	if q.Prompt == nil || len(q.Prompt.Prefix) == 0 {
		return nil
	}
	servers := f.preferables[:0]
	for _, s := range u.servers {
		if f.mayPrefer(s, q) {
			servers = append(servers, s)
		}
	}
	f.preferables = servers
	var lowest uint64
	if f.isAdaptive(u, q.Now) {
		lowest = f.groupWeight(u, q.Prompt, servers)
	}
	first, last := q.Prompt.Prefix[0].ID, q.Prompt.Prefix[len(q.Prompt.Prefix)-1].ID
	var preferred *server
	var highest uint64
	for _, s := range servers {
		if mixWeight(first, s.hash) < lowest {
			continue
		}
		weight := mixWeight(last, s.hash)
		if preferred == nil || weight > highest {
			preferred = s
			highest = weight
		}
	}
	return preferred
}

// hashID hashes a server id for rendezvous hashing.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// mixWeight returns the rendezvous weight of a segment at the server with a hashed id.
func mixWeight(segment, hash uint64) uint64 {
	x := hash ^ segment*0x9E3779B97F4A7C15
	x ^= x >> 32
	x *= 0xD6E8FEB86659FD93
	return x ^ x>>32
}

// groupWeight returns the lowest rendezvous weight for the first segment of the prompt's
// prefix among its group: the servers with the highest weights. It returns 0 if all the given
// servers are the group. Prefixes that begin alike are kept at one group, so that fewer
// servers read what they have in common. A prefix of one segment needs no group.
func (f *Fleet) groupWeight(u *upstreamState, prompt *Prompt, servers []*server) uint64 {
	if len(prompt.Prefix) < 2 {
		return 0
	}
	first := prompt.Prefix[0].ID
	size := u.firstSegments.groupSize(first, len(servers))
	if size == len(servers) {
		return 0
	}
	weights := f.groupWeights[:0]
	for _, s := range servers {
		weights = append(weights, mixWeight(first, s.hash))
	}
	f.groupWeights = weights
	slices.Sort(weights)
	return weights[len(weights)-size]
}
