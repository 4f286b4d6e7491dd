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

func (l *fakeLister) List(context.Context) (instances.Reading, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.fails {
		return instances.Reading{}, errors.New("over the rate")
	}
	return instances.Reading{Instances: l.list}, nil
}

func (l *fakeLister) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// count returns the number of reads.
func (l *fakeLister) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

var discardLog = log.New(io.Discard)

// Reads of an unchanged list must not change the listing's number, or entries
// would receive the whole list again after every read.
func TestPollerReportsChangesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &fakeLister{list: []instances.Instance{{ID: "one"}}}
		p := &instances.Poller{Lister: lister, Interval: time.Second, Log: discardLog}
		p.Start()
		defer p.Close()
		time.Sleep(3500 * time.Millisecond)
		listing, age, changed := p.Current()
		if listing.Number != 1 || age > time.Second {
			t.Errorf("listing number %d, %s old, want number 1 and at most 1 s", listing.Number, age)
		}
		lister.update(func() { lister.list = []instances.Instance{{ID: "one", Leaving: true}} })
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
		lister := &fakeLister{fails: true}
		p := &instances.Poller{Lister: lister, Interval: time.Second, Log: discardLog}
		p.Start()
		defer p.Close()
		time.Sleep(30 * time.Second)
		if count := lister.count(); count > 10 {
			t.Errorf("%d failed reads in 30 s, want at most 10", count)
		}
		if _, age, _ := p.Current(); age >= 0 {
			t.Error("the age is not negative although the list was never read")
		}
	})
}

// While control instances confirm the listing, an entry must not read the list.
// When the confirmations stop, it must read the list itself, and an outdated
// listing must not replace that list.
func TestViewReadsListOnlyWithoutControlInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &fakeLister{list: []instances.Instance{{ID: "own"}}}
		var seen atomic.Pointer[string]
		v := &instances.View{Lister: lister, Log: discardLog, Changed: func(list []instances.Instance) { seen.Store(&list[0].ID) }}
		v.Start()
		defer v.Close()
		listing := instances.Listing{Reader: "control", Number: 1, Instances: []instances.Instance{{ID: "told"}}}
		v.Offer(listing, 200*time.Millisecond)
		for range 20 {
			time.Sleep(time.Second)
			v.Confirm("control", 1, 300*time.Millisecond)
		}
		if lister.count() != 0 || *seen.Load() != "told" {
			t.Fatalf("%d reads by the entry, want 0; first server %s, want the one of the listing", lister.count(), *seen.Load())
		}
		time.Sleep(10 * time.Second)
		if lister.count() == 0 || lister.count() > 5 {
			t.Errorf("%d reads by the entry in 10 s without confirmations, want 1 to 5", lister.count())
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
		lister := &fakeLister{list: []instances.Instance{{ID: "same"}}}
		var views []*instances.View
		for range count {
			views = append(views, &instances.View{Lister: lister, Log: discardLog, Entries: func() int { return count }})
		}
		for _, v := range views {
			v.Announce = func(checksum uint64, age time.Duration) {
				for _, other := range views {
					other.ConfirmChecksum(checksum, age)
				}
			}
			v.Offer(instances.Listing{Reader: "control", Number: 1, Instances: lister.list}, 0)
			v.Start()
			defer v.Close()
		}
		time.Sleep(8 * time.Second)
		if reads := lister.count(); reads > 2*count/10 {
			t.Errorf("%d reads by %d disconnected entries, want at most a fifth as many", reads, count)
		}
		for _, v := range views {
			if v.Age() > 6*time.Second {
				t.Errorf("the list of an entry is %s old, want at most 6 s", v.Age())
			}
		}
	})
}

// TestViewFollowsTheListWithoutGaps checks that a view counts as following the list only
// since the end of the last gap, and not at all while the list is old.
func TestViewFollowsTheListWithoutGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := &instances.View{}
		listing := instances.Listing{Reader: "r", Number: 1}
		view.Offer(listing, 0)
		follow := func(seconds int) {
			for range seconds {
				time.Sleep(time.Second)
				view.Confirm("r", 1, 0)
			}
		}
		follow(10)
		if view.FollowedFor() != 10*time.Second {
			t.Errorf("followed for %s, want 10 s", view.FollowedFor())
		}
		time.Sleep(5 * time.Second)
		if view.FollowedFor() != 0 {
			t.Errorf("followed for %s with a list of 5 s ago, want 0", view.FollowedFor())
		}
		view.Confirm("r", 1, 0)
		follow(3)
		if view.FollowedFor() != 3*time.Second {
			t.Errorf("followed for %s after a gap, want 3 s", view.FollowedFor())
		}
	})
}

// TestProofOfAListIsNotOlderThanAsked guards against a list that counts as current at a time
// after the request for it, as one does whose response waited while the entry stood still,
// and against entries that ask the platform for it at every request.
func TestProofOfAListIsNotOlderThanAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &fakeLister{list: []instances.Instance{{ID: "i-1"}}}
		view := &instances.View{Lister: lister, Log: discardLog}
		view.Offer(instances.Listing{Reader: "r", Number: 1, Instances: lister.list}, 0)
		asked := time.Now()
		time.Sleep(time.Second)
		view.Confirm("r", 1, 0)
		view.Prove("r", 1, asked)
		view.Prove("r", 2, time.Now())
		ended, end := context.WithCancel(t.Context())
		end()
		if !view.AwaitCurrent(ended, asked) || view.AwaitCurrent(ended, asked.Add(1)) {
			t.Error("the list is not proven for the time at which it was asked for, or for a later one")
		}
		view.Start()
		defer view.Close()
		for range 20 {
			at := time.Now()
			if !view.AwaitCurrent(t.Context(), at) || time.Since(at) > 1500*time.Millisecond {
				t.Errorf("no proof, or one after %s; want one within 1.5 s", time.Since(at))
			}
		}
		if reads := lister.count(); reads > 21 {
			t.Errorf("%d reads for 20 requests one after another, want one at most for each", reads)
		}
		start := time.Now()
		for time.Since(start) < 10*time.Second {
			view.AwaitCurrent(t.Context(), time.Now())
			time.Sleep(time.Millisecond)
		}
		if reads := lister.count(); reads > 33 {
			t.Errorf("%d reads, want at most one a second", reads)
		}
	})
}

// TestChecksumChangesOnlyWithColdServers guards against a view that takes a list for its own
// although a server became cold, and against builds that no longer confirm each other's lists
// because one of them knows whether servers are cold.
func TestChecksumChangesOnlyWithColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			told      instances.Instance
			confirmed bool
		}{
			{instances.Instance{ID: "i"}, true},
			{instances.Instance{ID: "i", ColdStated: true}, true},
			{instances.Instance{ID: "i", ColdStated: true, Cold: true}, false},
		} {
			var checksum uint64
			reader := &instances.View{Lister: &fakeLister{list: []instances.Instance{{ID: "i"}}}, Log: discardLog, Announce: func(sum uint64, _ time.Duration) { checksum = sum }}
			reader.Start()
			time.Sleep(time.Second)
			reader.Close()
			view := &instances.View{}
			view.Offer(instances.Listing{Reader: "r", Number: 1, Instances: []instances.Instance{c.told}}, time.Second)
			view.ConfirmChecksum(checksum, 0)
			if got := view.Age() == 0; got != c.confirmed {
				t.Errorf("%+v: confirmed %t, want %t", c.told, got, c.confirmed)
			}
		}
	})
}
