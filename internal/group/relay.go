package group

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	// relayTimeout bounds one query of the leader.
	relayTimeout = 400 * time.Millisecond
	// minSourceInterval is the minimum time between two reads of the source.
	minSourceInterval = 900 * time.Millisecond
	// maxRelayAge is the age above which the leader's list is not used.
	maxRelayAge = 1500 * time.Millisecond
)

// errStaleListing reports that the leader's list is missing or too old, so that
// it must be read from its source.
var errStaleListing = errors.New("the leader has no fresh list of backend servers")

// Relay is an instances.Lister that fetches the list of backend servers from
// the leader of the control group, so that only one instance reads the source.
// It reads the source itself if there is no leader with a fresh list.
type Relay struct {
	Client *peer.Client
	// Leader returns the address of the leader, or "" if this instance is the
	// leader or there is none.
	Leader func() string
	// Source reads the list itself.
	Source instances.Lister

	// last is the result of the last read of the source, and lastRead is when that
	// read started.
	last     instances.Reading
	lastRead time.Time
}

// List implements instances.Lister. It must not be called concurrently.
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

// readSource reads the source at most once every minSourceInterval; in between
// it returns the last result.
func (r *Relay) readSource(ctx context.Context) (instances.Reading, error) {
	if !r.lastRead.IsZero() && time.Since(r.lastRead) < minSourceInterval {
		last := r.last
		last.Age = time.Since(r.lastRead)
		return last, nil
	}
	started := time.Now()
	reading, err := r.Source.List(ctx)
	if err != nil {
		return instances.Reading{}, errors.Newf("read the list of backend servers: %w", err)
	}
	r.last = reading
	r.lastRead = started
	return reading, nil
}

// queryLeader returns the leader's list, or errStaleListing if the leader has no
// list or one older than maxRelayAge.
func (r *Relay) queryLeader(ctx context.Context, leader string) (instances.Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	request := &watchRequest{NumberOnly: true, Listing: true}
	response, err := peer.Call[watchRequest, watchResponse](ctx, r.Client, leader, watchProcedure, request)
	if err != nil {
		return instances.Reading{}, errors.Newf("query the leader for the list of backend servers: %w", err)
	}
	age := time.Duration(response.ListingAge) * time.Millisecond
	if response.Listing == nil || age < 0 || age > maxRelayAge {
		return instances.Reading{}, errStaleListing
	}
	return instances.Reading{Instances: response.Listing.Instances, Age: age}, nil
}
