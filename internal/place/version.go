package place

// VersionLimit limits a placement to servers of one software version. Its zero value
// allows every version.
type VersionLimit struct {
	Limited bool
	Version string
}

// allows reports whether the limit allows a server of the given version.
func (l VersionLimit) allows(version string) bool {
	return !l.Limited || l.Version == version
}
