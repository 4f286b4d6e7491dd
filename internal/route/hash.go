package route

import (
	"sort"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// maxPrefixBytes bounds the part of a prompt that decides its affinity.
	maxPrefixBytes = 4096
)

// Hash returns a hash of a name.
func Hash(name string) uint64 {
	hash := uint64(fnvOffset)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	return mix(hash)
}

// PrefixHash returns the affinity of a prompt that starts with text; it is never 0.
func PrefixHash(model string, text []byte) uint64 {
	hash := Hash(model)
	for _, b := range text[:min(len(text), maxPrefixBytes)] {
		hash = (hash ^ uint64(b)) * fnvPrime
	}
	return mix(hash) | 1
}

// rendezvousWeight returns the rendezvous weight of a server for a prefix.
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

// Subset returns the size servers that an instance routes over, those of its
// own failure domain first. Every instance has another subset, so that all
// servers are covered about evenly.
func Subset(servers []*Server, failureDomain, instance string, size int) []*Server {
	if len(servers) <= size {
		return servers
	}
	ranked := append([]*Server(nil), servers...)
	key := Hash(instance)
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
