package group

import (
	"slices"
	"sync"
)

// Directory holds the addresses of the control instances: the seeds in the
// settings and the members that the control group reported. Its zero value is
// empty and ready to use. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	seeds   []string
	members []string
}

// NewDirectory returns a directory of seeds, the preferred one first.
func NewDirectory(seeds ...string) *Directory {
	return &Directory{seeds: seeds}
}

// SetSeeds replaces the seeds.
func (d *Directory) SetSeeds(seeds []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = slices.Clone(seeds)
}

// SetMembers replaces the addresses that the control group reported; an empty
// list changes nothing.
func (d *Directory) SetMembers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = slices.Clone(addresses)
}

// Addresses returns the seeds, then the members that are not seeds.
func (d *Directory) Addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := slices.Clone(d.seeds)
	for _, address := range d.members {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Members returns the addresses that the control group reported, or the seeds
// if it has reported none yet.
func (d *Directory) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.members) > 0 {
		return slices.Clone(d.members)
	}
	return slices.Clone(d.seeds)
}

// nextAfter returns the address that follows the given one in rotation, or the
// first address if the given one is unknown. It returns false if there is no
// other address.
func (d *Directory) nextAfter(address string) (string, bool) {
	addresses := d.Addresses()
	if len(addresses) == 0 {
		return "", false
	}
	next := addresses[(slices.Index(addresses, address)+1)%len(addresses)]
	return next, next != address
}
