package ledger

import (
	"reflect"
	"testing"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// FuzzChange decodes journal records. No input may panic, a decoded change must
// be the same after it is encoded and decoded again, and applying it must not
// make an account negative.
func FuzzChange(f *testing.F) {
	for _, c := range []change{
		epochOpened{Epoch: "a/1"},
		reserved{Reserve: newReserve("key", "one"), At: 1, VoidPrevious: true},
		settled{Settle: newSettle("key", "one"), At: 2, ResultUnknown: true},
		released{Release: Release{Workspace: "north", Key: "key", Attempt: "one"}, At: 3},
		granted{Workspace: "north", Granted: 5},
		lost{At: 4},
		voided{},
		expired{Before: 6},
	} {
		data, err := encodeChange(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := decodeChange(data)
		if err != nil {
			return
		}
		again, err := encodeChange(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := decodeChange(again)
		if err != nil {
			t.Fatal(err)
		}
		third, err := encodeChange(second)
		if err != nil || !reflect.DeepEqual(again, third) {
			t.Errorf("%+v became %+v with error %v after encoding and decoding, want no change", first, second, err)
		}
		s := newState()
		_ = s.apply(first, nil)
		for name, account := range s.accounts {
			if account.Reserved < 0 || account.Available() < 0 {
				t.Errorf("account %s is %+v after %+v, want no negative amount", name, account, first)
			}
		}
	})
}

// FuzzMessages decodes the messages between ledgers and entries and the parts
// of a snapshot. No input may panic.
func FuzzMessages(f *testing.F) {
	for _, message := range []any{
		reserveRequest{Reserve: newReserve("key", "one")},
		reserveResponse{Reservation: Reservation{Outcome: OutcomeSettled}},
		settleRequest{Settle: newSettle("key", "one")},
		conflictRequest{Workspace: "north", Key: "key", Instance: "a"},
		reconcileRequest{Instance: "a", Billed: []Release{{Workspace: "north", Key: "key"}}},
	} {
		data, err := peer.Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, message := range []any{
			&reserveRequest{}, &reserveResponse{}, &settleRequest{}, &releaseRequest{}, &awaitRequest{},
			&heartbeatRequest{}, &conflictRequest{}, &conflictResponse{}, &reconcileRequest{}, &reconcileResponse{},
			&snapshotPart{},
		} {
			_ = peer.Decode(data, message)
		}
	})
}
