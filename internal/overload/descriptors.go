package overload

const (
	// callerDivisor divides the limit to give the number of descriptors that idle
	// connections to servers leave free for callers.
	callerDivisor = 4
	// requestDivisor divides the limit to give the number of descriptors that must be free
	// beside those in use for another request to be admitted: admitted requests may need one
	// for each server that they try, and files, datagrams and calls to control need some.
	// minRequestReserve is the least number.
	requestDivisor    = 16
	minRequestReserve = 64
	// minConnectionReserve is the least number of descriptors that the connections of callers
	// leave free; it is more than a callerDivisor-th of a low limit.
	minConnectionReserve = 100
)

// DescriptorLimit is the number of file descriptors that a process may open; 0 means that it
// is not known.
type DescriptorLimit int

// MaxIdle returns how many idle connections to servers may be kept beside inUse other
// connections.
func (l DescriptorLimit) MaxIdle(inUse int) int {
	return max(0, int(l)-int(l)/callerDivisor-inUse)
}

// MaxConnections returns how many connections of callers and peers may be kept open, idle ones
// included; 0 means that it is not known.
func (l DescriptorLimit) MaxConnections() int {
	if l == 0 {
		return 0
	}
	return max(1, int(l)-max(minConnectionReserve, int(l)/callerDivisor))
}

// HasRoom reports whether another request may be admitted beside inUse connections. Idle ones
// to servers don't count, because they are closed when others need their descriptors.
func (l DescriptorLimit) HasRoom(inUse int) bool {
	return l == 0 || inUse < int(l)-max(minRequestReserve, int(l)/requestDivisor)
}
