package instances_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// fakeLister is a list that can change and fail.
type fakeLister struct {
	mu    sync.Mutex
	list  []instances.Instance
	fails bool
	reads int
}

func (s *fakeLister) List(context.Context) (instances.Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.fails {
		return instances.Reading{}, errors.New("over the rate")
	}
	return instances.Reading{Instances: s.list}, nil
}

func (s *fakeLister) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeLister) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

var discardLog = log.New(io.Discard)

func TestPollerReportsChangesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLister{list: []instances.Instance{{ID: "one"}}}
		p := &instances.Poller{Lister: s, Interval: time.Second, Log: discardLog}
		p.Start()
		defer p.Close()
		time.Sleep(3500 * time.Millisecond)
		listing, age, changed := p.Current()
		if listing.Number != 1 || age > time.Second {
			t.Errorf("listing %d, %s old", listing.Number, age)
		}
		s.update(func() { s.list = []instances.Instance{{ID: "one", Leaving: true}} })
		<-changed
		listing, _, _ = p.Current()
		if listing.Number != 2 || !listing.Instances[0].Leaving {
			t.Errorf("%+v", listing)
		}
	})
}

// TestPollerBacksOffAfterFailures waits longer after each failure.
func TestPollerBacksOffAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLister{fails: true}
		p := &instances.Poller{Lister: s, Interval: time.Second, Log: discardLog}
		p.Start()
		defer p.Close()
		time.Sleep(30 * time.Second)
		if count := s.count(); count > 10 {
			t.Errorf("%d reads in 30 s", count)
		}
		if _, age, _ := p.Current(); age >= 0 {
			t.Error("a list that was never read has an age")
		}
	})
}

// TestViewReadsListOnlyWithoutControlInstances lets control instances tell of the
// list, fall silent and tell again.
func TestViewReadsListOnlyWithoutControlInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLister{list: []instances.Instance{{ID: "own"}}}
		var seen atomic.Pointer[string]
		v := &instances.View{Lister: s, Log: discardLog, Changed: func(list []instances.Instance) { seen.Store(&list[0].ID) }}
		v.Start()
		defer v.Close()
		listing := instances.Listing{Reader: "control", Number: 1, Instances: []instances.Instance{{ID: "told"}}}
		v.Offer(listing, 200*time.Millisecond)
		for range 20 {
			time.Sleep(time.Second)
			v.Confirm("control", 1, 300*time.Millisecond)
		}
		if s.count() != 0 || *seen.Load() != "told" {
			t.Fatalf("%d own reads, first server %s", s.count(), *seen.Load())
		}
		time.Sleep(10 * time.Second)
		if s.count() == 0 || s.count() > 5 {
			t.Errorf("%d own reads in 10 s of silence", s.count())
		}
		v.Offer(listing, 5*time.Second)
		synctest.Wait()
		if *seen.Load() != "own" {
			t.Error("an older list took the place of a newer one")
		}
	})
}

// TestDisconnectedEntriesShareReads plays the load of ninety entries
// that are cut off from the control group for eight seconds.
func TestDisconnectedEntriesShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 90
		s := &fakeLister{list: []instances.Instance{{ID: "same"}}}
		var views []*instances.View
		for range count {
			views = append(views, &instances.View{Lister: s, Log: discardLog, Entries: func() int { return count }})
		}
		for _, v := range views {
			v.Announce = func(checksum uint64, age time.Duration) {
				for _, other := range views {
					other.ConfirmChecksum(checksum, age)
				}
			}
			v.Offer(instances.Listing{Reader: "control", Number: 1, Instances: s.list}, 0)
			v.Start()
			defer v.Close()
		}
		time.Sleep(8 * time.Second)
		if reads := s.count(); reads > 2*count/10 {
			t.Errorf("%d reads by %d entries", reads, count)
		}
		for _, v := range views {
			if v.Age() > 6*time.Second {
				t.Errorf("a list is %s old", v.Age())
			}
		}
	})
}
