package roster_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/quorum"
	"github.com/cactusbay/cactusbay/internal/roster"
)

const ownAddress = "10.0.0.1:7340"

// contacts are addresses of the group from which a folder is discarded.
var contacts = []string{"10.0.0.7:7340", "10.0.0.8:7340"}

var seeds = []string{ownAddress, "10.0.0.2:7340", "10.0.0.3:7340"}

func identify(t *testing.T, folder disk.Folder, founding bool, seeds []string) roster.Identity {
	t.Helper()
	identity, err := roster.Identify(folder, roster.Options{Address: ownAddress, FailureDomain: "a", Seeds: seeds, Founding: founding})
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

// TestIdentityStaysWithDataFolder guards against a restart with other settings
// that changes the identity in the data folder, and against an instance that
// founds a second group although it is no seed or the site exists.
func TestIdentityStaysWithDataFolder(t *testing.T) {
	founderFolder := &fake.Disk{}
	first := identify(t, founderFolder, true, seeds)
	if first.Member.ID != ownAddress || len(first.Founders) != 3 {
		t.Errorf("identity of a founder: %+v, want its address as ID and three founders", first)
	}
	again := identify(t, founderFolder, false, []string{"10.0.0.9:7340"})
	if again.Member.ID != ownAddress || len(again.Founders) != 3 {
		t.Errorf("identity of a founder restarted with other seeds: %+v, want it unchanged", again)
	}
	joinerFolder := &fake.Disk{}
	joined := identify(t, joinerFolder, false, seeds)
	if !strings.HasPrefix(joined.Member.ID, ownAddress+"/") || joined.Founders != nil {
		t.Errorf("identity of an empty folder on an existing site: %+v, want a random ID and no founders", joined)
	}
	if identify(t, joinerFolder, false, seeds).Member.ID != joined.Member.ID {
		t.Error("a restart changed the identity in the folder")
	}
	if identify(t, &fake.Disk{}, true, seeds[1:]).Founders != nil {
		t.Error("an instance that is no seed founds the group")
	}
}

// TestDiscardedFolderGetsNewIdentity guards against a retired member that comes back
// with files or the identity of before, or as a founder of a group that exists.
func TestDiscardedFolderGetsNewIdentity(t *testing.T) {
	for _, founding := range []bool{false, true} {
		folder := &fake.Disk{}
		before := identify(t, folder, founding, seeds)
		err := folder.WriteFile("quorum.snapshot", []byte("old"))
		if err != nil {
			t.Fatal(err)
		}
		err = roster.Discard(folder, contacts)
		if err != nil {
			t.Fatal(err)
		}
		names, err := folder.List()
		if err != nil || !slices.Equal(names, []string{"member.json"}) {
			t.Errorf("files after the discard: got %v and error %v, want the mark alone", names, err)
		}
		checkJoins(t, folder, before)
	}
}

// checkJoins checks that a discarded folder becomes that of a joining member, in which
// nothing is left of the member before.
func checkJoins(t *testing.T, folder disk.Folder, before roster.Identity) {
	t.Helper()
	after := identify(t, folder, true, seeds)
	if after.Member.ID == before.Member.ID || after.Founders != nil || !slices.Equal(after.Contacts, contacts) {
		t.Errorf("identity %+v after the folder of %s was discarded, want another one, no founders and contacts %v", after, before.Member.ID, contacts)
	}
	names, err := folder.List()
	if err != nil || !slices.Equal(names, []string{"member.json"}) {
		t.Errorf("files %v and error %v in a discarded folder, want the new identity alone", names, err)
	}
	if again := identify(t, folder, true, seeds); again.Member.ID != after.Member.ID || !slices.Equal(again.Contacts, contacts) {
		t.Errorf("a restart changed the identity from %+v to %+v", after, again)
	}
}

// errKilled stands for the end of the process between two changes of its folder.
var errKilled = errors.New("killed")

// killedFolder is a data folder whose process is killed after some changes.
type killedFolder struct {
	*fake.Disk
	changes int
}

func (f *killedFolder) change() error {
	if f.changes == 0 {
		return errKilled
	}
	f.changes--
	return nil
}

func (f *killedFolder) WriteFile(name string, data []byte) error {
	err := f.change()
	if err != nil {
		return err
	}
	return f.Disk.WriteFile(name, data)
}

func (f *killedFolder) Remove(name string) error {
	err := f.change()
	if err != nil {
		return err
	}
	return f.Disk.Remove(name)
}

// TestInterruptedDiscardIsCompleted guards against an instance that was killed while it
// discarded its folder and then can't open it, or founds a group: after any number of
// changes the folder holds either the member of before, whole, or a joining one.
func TestInterruptedDiscardIsCompleted(t *testing.T) {
	files := []string{"quorum-00000005.log", "quorum.snapshot", "quorum.snapshot.tmp"}
	for changes := range len(files) + 1 {
		folder := &killedFolder{Disk: &fake.Disk{}, changes: changes}
		before := identify(t, folder.Disk, true, seeds)
		for _, name := range files {
			err := folder.Disk.WriteFile(name, []byte("old"))
			if err != nil {
				t.Fatal(err)
			}
		}
		err := roster.Discard(folder, contacts)
		if !errors.Is(err, errKilled) {
			t.Fatalf("got error %v after %d changes, want the folder to be killed", err, changes)
		}
		if changes > 0 {
			checkJoins(t, folder.Disk, before)
			continue
		}
		names, err := folder.List()
		if after := identify(t, folder.Disk, true, seeds); after.Member.ID != before.Member.ID || err != nil || len(names) != len(files)+1 {
			t.Errorf("identity %+v, files %v, error %v before the first change, want %+v and all files", after, names, err, before)
		}
	}
}

// checkOpens checks that a group member can be opened on the folder under the identity
// in it.
func checkOpens(t *testing.T, folder disk.Folder, changes int) {
	t.Helper()
	id := identify(t, folder, false, seeds).Member.ID
	node, err := quorum.Open(quorum.Options{ID: id, Folder: folder, Client: &peer.Client{}})
	if err != nil {
		t.Errorf("member %s after a discard that ended after %d changes: %v", id, changes, err)
		return
	}
	node.Close()
}

// TestFolderOfAnInterruptedDiscardOpens guards against an instance that was killed while it
// discarded its folder and can't open the rest: the log in it belongs to another member
// than the identity.
func TestFolderOfAnInterruptedDiscardOpens(t *testing.T) {
	for changes := range 3 {
		folder := &killedFolder{Disk: &fake.Disk{}, changes: changes}
		checkOpens(t, folder.Disk, 0)
		_ = roster.Discard(folder, contacts)
		checkOpens(t, folder.Disk, changes)
	}
}
