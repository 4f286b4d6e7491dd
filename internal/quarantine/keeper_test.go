package quarantine

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// memoryStore is a Store in memory that may be out of reach.
type memoryStore struct {
	mu          sync.Mutex
	keys        []Key
	unreachable bool
}

// Sync implements Store.
func (m *memoryStore) Sync(_ context.Context, add, remove []Key) ([]Key, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable {
		return nil, errors.New("unreachable")
	}
	m.keys = append(without(without(m.keys, remove), add), add...)
	return slices.Clone(m.keys), nil
}

// stored returns the keys in the store.
func (m *memoryStore) stored() []Key {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.keys)
}

// setUnreachable sets whether the store is out of reach.
func (m *memoryStore) setUnreachable(unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable = unreachable
}

// startKeeper starts a keeper with a registry of its own.
func startKeeper(store Store) *Keeper {
	k := &Keeper{Registry: &Registry{}, Store: store, Log: log.New(io.Discard)}
	k.Registry.Changed = k.Record
	k.Start()
	return k
}

// TestVerdictsOutliveTheLossOfAllEntries guards against prompts that crash servers again
// after all entries have ended at once.
func TestVerdictsOutliveTheLossOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{unreachable: true}
		before := startKeeper(store)
		for i := range 3 {
			before.Registry.RecordProgress(prefix(bystander), time.Now())
			before.Registry.RecordCrash(string(rune('a'+i)), suspects(time.Now(), prefix(culprit)...), time.Now())
			time.Sleep(time.Second)
		}
		store.setUnreachable(false)
		time.Sleep(time.Second)
		before.Close()
		after := startKeeper(store)
		defer after.Close()
		time.Sleep(time.Second)
		if after.Registry.Remaining(prefix(culprit), time.Now()) == 0 {
			t.Error("the segment isn't in quarantine after the restart")
		}
		after.Registry.RecordProgress(prefix(culprit), time.Now())
		time.Sleep(time.Second)
		if stored := store.stored(); len(stored) != 0 {
			t.Errorf("the store still has %v after an answer went on", stored)
		}
	})
}

// TestAnswerSinceTheStartOutweighsTheStore checks that a stored verdict is not learned
// once an answer has gone on.
func TestAnswerSinceTheStartOutweighsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{keys: prefix(subject), unreachable: true}
		k := startKeeper(store)
		defer k.Close()
		time.Sleep(time.Second)
		k.Registry.RecordProgress(prefix(subject), time.Now())
		store.setUnreachable(false)
		time.Sleep(time.Second)
		if k.Registry.Remaining(prefix(subject), time.Now()) != 0 {
			t.Error("the segment is in quarantine although an answer went on")
		}
	})
}
