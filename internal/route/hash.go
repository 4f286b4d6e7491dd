package route

import (
	"sort"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// maxPrefixBytes is how many bytes of a prompt count for prefix affinity.
	maxPrefixBytes = 4096
)

// Hash returns the FNV-1a hash of a name, mixed so that it can be used for
// rendezvous weights.
func Hash(name string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	return mix(hash)
}

// PrefixHash returns the affinity key of a prompt that starts with text. It is
// never 0, which means no affinity in a Query.
func PrefixHash(model string, text []byte) uint64 {
	hash := Hash(model)
	for _, b := range text[:min(len(text), maxPrefixBytes)] {
		hash = (hash ^ uint64(b)) * fnvPrime
	}
	return mix(hash) | 1
}

// rendezvousWeight returns the weight of a server hash for a prefix hash. The
// server with the highest weight is preferred.
func rendezvousWeight(server, prefix uint64) uint64 {
	return mix(server ^ prefix*fnvPrime)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Subset returns the size servers that an entry routes to, those of its own
// failure domain first. Each entry has a different subset, so that the subsets
// together cover all servers about evenly. It returns servers itself if there are
// no more than size.
func Subset(servers []*Server, failureDomain, entry string, size int) []*Server {
	if len(servers) <= size {
		return servers
	}
	ranked := append([]*Server(nil), servers...)
	key := Hash(entry)
	domain := Hash(failureDomain)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		aOwnDomain, bOwnDomain := a.domain == domain, b.domain == domain
		if aOwnDomain != bOwnDomain {
			return aOwnDomain
		}
		return rendezvousWeight(a.hash, key) > rendezvousWeight(b.hash, key)
	})
	return ranked[:size]
}
