package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	relayTimeout = 400 * time.Millisecond
	// minSourceInterval is the least time between two readings of the source.
	minSourceInterval = 900 * time.Millisecond
	// maxRelayAge is the age above which the leader's list is not taken.
	maxRelayAge = 1500 * time.Millisecond
)

// errStaleListing reports a list that is read better at its source.
var errStaleListing = errors.New("the leader has no fresh list of backend servers")

// Relay is a Lister that takes the list from the leader of the control group,
// so that one instance reads it for all. Without a leader that has a fresh list
// it reads the list itself.
type Relay struct {
	Client *peer.Client
	// Leader returns the address of the leader, or "" at the leader itself and
	// while there is none.
	Leader func() string
	// Source reads the list itself.
	Source instances.Lister

	// lastInstances is the lastInstances reading of the source, and read its time.
	lastInstances []instances.Instance
	lastRead      time.Time
}

// List implements instances.Lister. It is used by one goroutine.
func (r *Relay) List(ctx context.Context) (instances.Reading, error) {
	leader := r.Leader()
	if leader == "" {
		return r.readSource(ctx)
	}
	reading, err := r.queryLeader(ctx, leader)
	if err != nil {
		return r.readSource(ctx)
	}
	return reading, nil
}

// readSource reads the list itself, but not more often than sourceInterval: in
// between it gives the last reading again.
func (r *Relay) readSource(ctx context.Context) (instances.Reading, error) {
	if !r.lastRead.IsZero() && time.Since(r.lastRead) < minSourceInterval {
		return instances.Reading{Instances: r.lastInstances, Age: time.Since(r.lastRead)}, nil
	}
	started := time.Now()
	reading, err := r.Source.List(ctx)
	if err != nil {
		return instances.Reading{}, errors.Newf("read the list of backend servers: %w", err)
	}
	r.lastInstances = reading.Instances
	r.lastRead = started
	return reading, nil
}

func (r *Relay) queryLeader(ctx context.Context, leader string) (instances.Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	request := &watchRequest{NumberOnly: true, Listing: true}
	response, err := peer.Call[watchRequest, watchResponse](ctx, r.Client, leader, watchProcedure, request)
	if err != nil {
		return instances.Reading{}, errors.Newf("ask the leader for the list: %w", err)
	}
	age := time.Duration(response.ListingAge) * time.Millisecond
	if response.Listing == nil || age < 0 || age > maxRelayAge {
		return instances.Reading{}, errStaleListing
	}
	return instances.Reading{Instances: response.Listing.Instances, Age: age}, nil
}
