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
	// Contacts are the peer addresses of the group from which the folder was
	// discarded.
	Contacts []string
}

// identityBody is the content of identityFile.
type identityBody struct {
	ID       string   `json:"id"`
	Founders []string `json:"founders,omitempty"`
	// Discarded means that the group has retired this member, to which the other files
	// belong.
	Discarded bool     `json:"discarded,omitempty"`
	Contacts  []string `json:"contacts,omitempty"`
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
// otherwise that of a joining member with a random ID. A discarded folder is
// emptied and always gets that of a joining member, because a group exists.
func Identify(folder disk.Folder, options Options) (Identity, error) {
	body, err := read(folder)
	switch {
	case errors.Is(err, disk.ErrNotExist):
		return create(folder, options.emptyFolderBody(), options)
	case err != nil:
		return Identity{}, err
	case !body.Discarded:
		return body.identity(options), nil
	}
	err = removeOtherFiles(folder)
	if err != nil {
		return Identity{}, err
	}
	return create(folder, options.joiningBody(body.Contacts), options)
}

// emptyFolderBody returns the identity of a folder that has never had one.
func (o Options) emptyFolderBody() identityBody {
	if o.Founding && slices.Contains(o.Seeds, o.Address) {
		return identityBody{ID: o.Address, Founders: o.Seeds}
	}
	return o.joiningBody(nil)
}

// joiningBody returns a new identity of a member that joins an existing group, with
// the addresses that are known of it.
func (o Options) joiningBody(contacts []string) identityBody {
	return identityBody{ID: o.Address + "/" + rand.Text(), Contacts: contacts}
}

// read returns the identity in the folder. The error wraps disk.ErrNotExist if there is
// none.
func read(folder disk.Folder) (identityBody, error) {
	data, err := folder.ReadFile(identityFile)
	if err != nil {
		return identityBody{}, errors.Newf("read member identity: %w", err)
	}
	var body identityBody
	err = json.Unmarshal(data, &body)
	if err != nil {
		return identityBody{}, errors.Newf("decode member identity: %w", err)
	}
	return body, nil
}

// create stores a new identity in the folder.
func create(folder disk.Folder, body identityBody, options Options) (Identity, error) {
	err := body.write(folder)
	if err != nil {
		return Identity{}, err
	}
	return body.identity(options), nil
}

func (b identityBody) write(folder disk.Folder) error {
	data, err := json.Marshal(b)
	if err != nil {
		return errors.Newf("encode member identity: %w", err)
	}
	err = folder.WriteFile(identityFile, data)
	if err != nil {
		return errors.Newf("write member identity: %w", err)
	}
	return nil
}

func (b identityBody) identity(options Options) Identity {
	identity := Identity{
		Member:   quorum.Member{ID: b.ID, Address: options.Address, FailureDomain: options.FailureDomain},
		Contacts: b.Contacts,
	}
	for _, founder := range b.Founders {
		identity.Founders = append(identity.Founders, quorum.Member{ID: founder, Address: founder})
	}
	return identity
}

// Discard removes the state of a member that the group has retired. The folder is
// marked first, so that the next call of Identify completes an interrupted Discard
// and doesn't make the instance a founder again. contacts are the peer addresses of
// the group, which the next member joins.
func Discard(folder disk.Folder, contacts []string) error {
	body, err := read(folder)
	if err != nil {
		return err
	}
	body.Discarded = true
	body.Contacts = contacts
	err = body.write(folder)
	if err != nil {
		return err
	}
	return removeOtherFiles(folder)
}

// removeOtherFiles removes every file but the identity.
func removeOtherFiles(folder disk.Folder) error {
	names, err := folder.List()
	if err != nil {
		return errors.Newf("list data folder: %w", err)
	}
	for _, name := range names {
		if name == identityFile {
			continue
		}
		err = folder.Remove(name)
		if err != nil {
			return errors.Newf("empty data folder: %w", err)
		}
	}
	return nil
}
