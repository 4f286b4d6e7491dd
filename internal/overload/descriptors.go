package overload

const (
	// callerShare divides the limit to give the descriptors that idle connections to
	// servers leave free for callers.
	callerShare = 4
	// requestShare divides the limit to give the descriptors that are kept free of further
	// requests: those admitted may need one for each server that they try, and files,
	// datagrams and calls to control need some. minRequestReserve is the least number.
	requestShare      = 16
	minRequestReserve = 64
)

// DescriptorLimit is the number of file descriptors that a process may open; 0 means that it
// is not known.
type DescriptorLimit int

// MaxIdle returns how many idle connections to servers may be kept beside inUse other
// connections.
func (l DescriptorLimit) MaxIdle(inUse int) int {
	return max(0, int(l)-int(l)/callerShare-inUse)
}

// HasRoom reports whether another request may be admitted beside inUse connections. Idle ones
// to servers don't count, because they are closed when others need their descriptors.
func (l DescriptorLimit) HasRoom(inUse int) bool {
	return l == 0 || inUse < int(l)-max(minRequestReserve, int(l)/requestShare)
}
