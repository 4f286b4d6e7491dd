// Package roster establishes the membership of a control instance whose
// settings name only seeds. The instance founds the control group or joins it,
// under an ID that is stored in its data folder and lost with it.
package roster

import (
	"crypto/rand"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/quorum"
)

const identityFile = "member.json"

// Identity is the membership of a data folder in the control group.
type Identity struct {
	Member quorum.Member
	// Founders are the initial members of the group if this instance is one of
	// them, otherwise nil.
	Founders []quorum.Member
}

// identityBody is the content of identityFile.
type identityBody struct {
	ID       string   `json:"id"`
	Founders []string `json:"founders,omitempty"`
}

// Options determine the identity that an empty data folder gets.
type Options struct {
	// Address is where the instance serves its peers.
	Address       string
	FailureDomain string
	// Seeds are the peer addresses of the seeds.
	Seeds []string
	// Founding is true at the first start of the whole site.
	Founding bool
}

// Identify reads the identity in a data folder. An empty folder gets a new one:
// that of a founder if the site is being founded and the instance is a seed,
// otherwise that of a joining member with a random ID.
func Identify(folder disk.Folder, options Options) (Identity, error) {
	data, err := folder.ReadFile(identityFile)
	switch {
	case err == nil:
		return decodeIdentity(data, options)
	case !errors.Is(err, disk.ErrNotExist):
		return Identity{}, errors.Newf("read member identity: %w", err)
	}
	body := identityBody{ID: options.Address + "/" + rand.Text()}
	if options.Founding && slices.Contains(options.Seeds, options.Address) {
		body = identityBody{ID: options.Address, Founders: options.Seeds}
	}
	data, err = json.Marshal(body)
	if err != nil {
		return Identity{}, errors.Newf("encode member identity: %w", err)
	}
	err = folder.WriteFile(identityFile, data)
	if err != nil {
		return Identity{}, errors.Newf("write member identity: %w", err)
	}
	return body.identity(options), nil
}

func decodeIdentity(data []byte, options Options) (Identity, error) {
	var body identityBody
	err := json.Unmarshal(data, &body)
	if err != nil {
		return Identity{}, errors.Newf("decode member identity: %w", err)
	}
	return body.identity(options), nil
}

func (b identityBody) identity(options Options) Identity {
	identity := Identity{Member: quorum.Member{ID: b.ID, Address: options.Address, FailureDomain: options.FailureDomain}}
	for _, founder := range b.Founders {
		identity.Founders = append(identity.Founders, quorum.Member{ID: founder, Address: founder})
	}
	return identity
}

// Erase removes every file from the data folder of a member that the group has
// retired.
func Erase(folder disk.Folder) error {
	names, err := folder.List()
	if err != nil {
		return errors.Newf("list data folder: %w", err)
	}
	// Remove the identity first, so that an interrupted erase does not leave a
	// folder that still has the identity of the retired member.
	slices.SortFunc(names, func(a, b string) int {
		return compareBool(b == identityFile, a == identityFile)
	})
	for _, name := range names {
		err = folder.Remove(name)
		if err != nil {
			return errors.Newf("empty data folder: %w", err)
		}
	}
	return nil
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
