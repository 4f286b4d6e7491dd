package quorum

import (
	"testing"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// encodeSeed returns an encoded message for the seed corpus.
func encodeSeed(f *testing.F, message any) []byte {
	data, err := peer.Encode(message)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// FuzzLoad loads arbitrary segments. Each must be refused or load as a log without
// gaps whose size is the sum of its entries.
func FuzzLoad(f *testing.F) {
	first := encodeSeed(f, record{Identity: &identity{ID: "1", Folder: "f", Admitted: true}, Head: &segmentHead{}})
	second := encodeSeed(f, record{Term: 2, Commit: 1, Entries: []entry{{Index: 1, Term: 1}, {Index: 2, Term: 2, Data: []byte("x")}}})
	whole := journal.AppendRecord(journal.AppendRecord(nil, first), second)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := &fake.Disk{}
		err := folder.WriteFile(segmentName(0), data)
		if err != nil {
			t.Fatal(err)
		}
		d, err := load(folder)
		if err != nil {
			return
		}
		size := 0
		for i, e := range d.log.entries {
			size += e.size()
			if e.Index != d.log.base+uint64(i)+1 {
				t.Errorf("entry %d is at position %d after base %d, want consecutive indexes", e.Index, i, d.log.base)
			}
		}
		if d.log.size != size {
			t.Errorf("log size %d, want %d", d.log.size, size)
		}
	})
}

// FuzzSnapshot decodes arbitrary snapshot files. Each must be refused or have data
// of the length in its header.
func FuzzSnapshot(f *testing.F) {
	whole, err := encodeSnapshot(snapshot{Index: 3, Term: 2, Data: []byte("state")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := decodeSnapshot(data)
		if err == nil && int64(len(s.Data)) != s.Size {
			t.Errorf("snapshot data has %d bytes, want %d", len(s.Data), s.Size)
		}
	})
}

// FuzzMessages sends arbitrary messages to a member. None may move the commit index
// beyond the end of the log or cause a panic.
func FuzzMessages(f *testing.F) {
	f.Add(encodeSeed(f, appendRequest{Term: 3, Leader: "2", PreviousIndex: 1, PreviousTerm: 1, Entries: []entry{{Index: 2, Term: 3}}, Commit: 2}))
	f.Add(encodeSeed(f, voteRequest{Term: 3, Candidate: "2", LastIndex: 9, LastTerm: 2}))
	f.Add(encodeSeed(f, snapshotRequest{Term: 3, Leader: "2", Index: 7, IndexTerm: 2, Data: []byte("x"), Last: true}))
	f.Fuzz(func(t *testing.T, data []byte) {
		network := &fake.Network{}
		n, err := Open(Options{
			ID:           "1",
			Members:      []Member{memberFor("1"), memberFor("2")},
			Folder:       &fake.Disk{},
			StateMachine: &recordingMachine{},
			Client:       &peer.Client{HTTP: transport.Client(network.Host("1"))},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer n.shutDown()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.admit(map[string]string{"1": n.identity.Folder})
		deliver(n, data)
		if n.commit > n.log.last() {
			t.Errorf("commit index %d is beyond the last entry %d, want at most that", n.commit, n.log.last())
		}
	})
}

// deliver decodes data as each kind of message and passes it to the node's handler.
func deliver(n *Node, data []byte) {
	var vote voteRequest
	if peer.Decode(data, &vote) == nil {
		n.handleVote(&vote)
	}
	var appended appendRequest
	if peer.Decode(data, &appended) == nil {
		_, _ = n.handleAppend(&appended)
	}
	var chunk snapshotRequest
	if peer.Decode(data, &chunk) == nil {
		_, _ = n.handleSnapshot(&chunk)
	}
}
