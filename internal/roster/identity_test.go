package roster_test

import (
	"strings"
	"testing"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/roster"
)

const ownAddress = "10.0.0.1:7340"

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

func TestErasedFolderGetsNewIdentity(t *testing.T) {
	folder := &fake.Disk{}
	before := identify(t, folder, false, seeds)
	err := folder.WriteFile("quorum.snapshot", []byte("old"))
	if err != nil {
		t.Fatal(err)
	}
	err = roster.Erase(folder)
	if err != nil {
		t.Fatal(err)
	}
	names, err := folder.List()
	if err != nil || len(names) != 0 {
		t.Errorf("files after the erase: got %v and error %v, want none", names, err)
	}
	if identify(t, folder, false, seeds).Member.ID == before.Member.ID {
		t.Error("the erased folder got its old identity again")
	}
}
