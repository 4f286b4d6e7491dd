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

// fakeLister is a Lister whose list can change and whose reads can fail.
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

// count returns the number of reads.
func (s *fakeLister) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

var discardLog = log.New(io.Discard)

// Reads of an unchanged list must not change the listing's number, or entries
// would receive the whole list again after every read.
func TestPollerReportsChangesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLister{list: []instances.Instance{{ID: "one"}}}
		p := &instances.Poller{Lister: s, Interval: time.Second, Log: discardLog}
		p.Start()
		defer p.Close()
		time.Sleep(3500 * time.Millisecond)
		listing, age, changed := p.Current()
		if listing.Number != 1 || age > time.Second {
			t.Errorf("listing number %d, %s old, want number 1 and at most 1 s", listing.Number, age)
		}
		s.update(func() { s.list = []instances.Instance{{ID: "one", Leaving: true}} })
		<-changed
		listing, _, _ = p.Current()
		if listing.Number != 2 || !listing.Instances[0].Leaving {
			t.Errorf("%+v", listing)
		}
	})
}

// Polling at the full rate could keep a rate-limited source from recovering, so
// the poller waits longer after each failure.
func TestPollerBacksOffAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeLister{fails: true}
		p := &instances.Poller{Lister: s, Interval: time.Second, Log: discardLog}
		p.Start()
		defer p.Close()
		time.Sleep(30 * time.Second)
		if count := s.count(); count > 10 {
			t.Errorf("%d failed reads in 30 s, want at most 10", count)
		}
		if _, age, _ := p.Current(); age >= 0 {
			t.Error("the age is not negative although the list was never read")
		}
	})
}

// While control instances confirm the listing, an entry must not read the list.
// When they stop, it must read the list itself, and an outdated listing must
// not replace what it read.
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
			t.Fatalf("%d reads by the entry, want 0; first server %s, want the one of the listing", s.count(), *seen.Load())
		}
		time.Sleep(10 * time.Second)
		if s.count() == 0 || s.count() > 5 {
			t.Errorf("%d reads by the entry in 10 s without confirmations, want 1 to 5", s.count())
		}
		v.Offer(listing, 5*time.Second)
		synctest.Wait()
		if *seen.Load() != "own" {
			t.Error("an older list replaced a newer one")
		}
	})
}

// When the control group is unreachable, 90 entries would each read the list
// and overload its source. They must share a few reads, and no entry's list may
// grow old.
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
			t.Errorf("%d reads by %d disconnected entries, want at most a fifth as many", reads, count)
		}
		for _, v := range views {
			if v.Age() > 6*time.Second {
				t.Errorf("the list of an entry is %s old, want at most 6 s", v.Age())
			}
		}
	})
}
