package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// syncTimeout bounds one call of the store, and syncRetryDelay is the pause after a
	// failed one.
	syncTimeout    = time.Second
	syncRetryDelay = 250 * time.Millisecond
	// maxSyncDelay bounds the random delay of a change, because all entries reach a
	// verdict at the same time.
	maxSyncDelay = 300 * time.Millisecond
)

// Store keeps the keys in quarantine where they outlive all entries.
type Store interface {
	// Sync adds and removes keys and returns all that are in quarantine.
	Sync(ctx context.Context, add, remove []Key) ([]Key, error)
}

// Keeper reads the keys in quarantine from a store when an entry starts, and records
// the verdicts of this entry there. Set its exported fields before Start.
type Keeper struct {
	Registry *Registry
	Store    Store
	Log      *log.Logger

	mu sync.Mutex
	// add and remove are the changes that the store has not confirmed.
	add, remove []Key

	started time.Time
	wake    chan struct{}
	stop    context.CancelFunc
	done    chan struct{}
}

// Start starts to read and record in the background.
func (k *Keeper) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	k.done = make(chan struct{})
	k.wake = make(chan struct{}, 1)
	k.started = time.Now()
	go k.run(ctx)
}

// Close stops the keeper; changes that are not recorded are lost.
func (k *Keeper) Close() {
	k.stop()
	<-k.done
}

// Record queues a change of the registry for the store. It does not block.
func (k *Keeper) Record(change Change) {
	k.mu.Lock()
	switch change.Event {
	case EventQuarantined:
		k.add = append(k.add, change.Key)
		k.remove = without(k.remove, []Key{change.Key})
	case EventCleared, EventExpired:
		k.remove = append(k.remove, change.Key)
		k.add = without(k.add, []Key{change.Key})
	}
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run syncs at the start and after each change, until ctx ends.
func (k *Keeper) run(ctx context.Context) {
	defer close(k.done)
	for ctx.Err() == nil {
		if !k.sync(ctx) {
			sleep.For(ctx, syncRetryDelay)
			continue
		}
		for ctx.Err() == nil && !k.hasChanges() {
			select {
			case <-k.wake:
			case <-ctx.Done():
			}
		}
		sleep.For(ctx, rand.N(maxSyncDelay))
	}
}

// hasChanges reports whether there are changes for the store.
func (k *Keeper) hasChanges() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.add)+len(k.remove) > 0
}

// sync records the queued changes and learns what the store has. It reports whether the
// store confirmed.
func (k *Keeper) sync(ctx context.Context) bool {
	k.mu.Lock()
	add, remove := slices.Clone(k.add), slices.Clone(k.remove)
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	stored, err := k.Store.Sync(ctx, add, remove)
	if err != nil {
		k.Log.Debug("the quarantine could not be synced", "err", err.Error())
		return false
	}
	k.mu.Lock()
	k.add, k.remove = without(k.add, add), without(k.remove, remove)
	stored = without(stored, k.remove)
	k.mu.Unlock()
	k.learn(stored)
	return true
}

// learn passes stored keys to the registry, as in quarantine since the start of the
// keeper: an answer that went on since then proves them wrong.
func (k *Keeper) learn(stored []Key) {
	now := time.Now()
	verdicts := make([]Evidence, len(stored))
	for i, key := range stored {
		verdicts[i] = Verdict{Key: key, Age: now.Sub(k.started)}
	}
	k.Registry.Merge(verdicts, now)
}

// without returns the keys that are not in excluded.
func without(keys, excluded []Key) []Key {
	return slices.DeleteFunc(slices.Clone(keys), func(key Key) bool { return slices.Contains(excluded, key) })
}
