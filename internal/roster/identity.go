// Package roster makes a control instance a member of the control group of a
// site that is known by seeds only: it founds the group or joins it, under an
// id that is lost with its data folder.
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

// Identity is who a data folder is in the control group.
type Identity struct {
	Member quorum.Member
	// Founders are the first members of the group, when this is one of them.
	Founders []quorum.Member
}

// identityBody is an Identity as it stands in the data folder.
type identityBody struct {
	ID       string   `json:"id"`
	Founders []string `json:"founders,omitempty"`
}

// Options tell an empty folder what to become.
type Options struct {
	// Address is where the instance serves its peers.
	Address       string
	FailureDomain string
	// Seeds are the peer addresses of the seeds.
	Seeds []string
	// Founding is true at the first start of the whole site.
	Founding bool
}

// Identify reads the folder's identity, or gives an empty folder one: that of
// a founder if the site is new and the instance is a seed, else a new one.
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

// Erase empties the folder of a member that the group has retired.
func Erase(folder disk.Folder) error {
	names, err := folder.List()
	if err != nil {
		return errors.Newf("list data folder: %w", err)
	}
	// The identity goes first: a folder that is half empty must not be taken
	// for that of the old member.
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
