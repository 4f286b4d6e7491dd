package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	identifyProcedure = "/quorum/identify"
	identifyTimeout   = 500 * time.Millisecond
	// identifyInterval is the pause between two attempts to bootstrap the group.
	identifyInterval = 200 * time.Millisecond
)

var (
	// errNotAdmitted reports a member whose data folder is not part of the group.
	errNotAdmitted = errors.Newf("this member's data folder is empty and not admitted to the group: %w", peer.ErrUnavailable)
	// errUnknownFolder reports an initial member whose data folder is not the one
	// with which the group started.
	errUnknownFolder = errors.New("the group knows this member id with another data folder: remove the member and add it under a new id")
)

// identifyRequest is sent by an initial member to the other initial members when
// the group is bootstrapped.
type identifyRequest struct {
	ID     string `cbor:"1,keyasint"`
	Folder string `cbor:"2,keyasint"`
	// Initial are the sorted ids of the initial members in the settings of the
	// sender.
	Initial []string `cbor:"3,keyasint"`
}

// identifyResponse names the data folder of the responding member.
type identifyResponse struct {
	Folder   string `cbor:"1,keyasint"`
	Admitted bool   `cbor:"2,keyasint,omitempty"`
	// Initial maps the ids of the initial members to the names of their folders at
	// the bootstrap of the group.
	Initial map[string]string `cbor:"3,keyasint,omitempty"`
}

// bootstrapper admits the empty data folder of an initial member. A new group
// starts only after all its initial members have exchanged the names of their
// folders, so that a folder that was lost and recreated under a known id is
// distinguished from the folder of a new group.
type bootstrapper struct {
	node *Node
	// failure is why the last attempt failed, or nil. It is guarded by node.mu.
	failure error
}

// run tries to bootstrap until the folder is admitted or the node stops.
func (b *bootstrapper) run() {
	n := b.node
	for {
		folders, err := b.collectFolders()
		n.mu.Lock()
		b.failure = err
		if err == nil && !n.identity.Admitted && n.failed == nil {
			n.admit(folders)
		}
		n.mu.Unlock()
		if n.isAdmitted() {
			return
		}
		err = n.pause(context.Background(), identifyInterval)
		if err != nil {
			return
		}
	}
}

// collectFolders requests the folder names of the other initial members. A member
// that is already admitted knows all of them; otherwise every member must
// respond.
func (b *bootstrapper) collectFolders() (map[string]string, error) {
	n := b.node
	request := &identifyRequest{ID: n.options.ID, Folder: n.identity.Folder, Initial: n.initialIDs()}
	folders := map[string]string{n.options.ID: n.identity.Folder}
	var missing error
	for _, member := range n.options.Members {
		if member.ID == n.options.ID {
			continue
		}
		response, err := b.identify(member, request)
		switch {
		case err != nil:
			missing = err
		case response.Admitted:
			return initialFolders(response, request)
		default:
			folders[member.ID] = response.Folder
		}
	}
	return folders, missing
}

// identify sends this member's folder name to another initial member and returns
// the response.
func (b *bootstrapper) identify(member Member, request *identifyRequest) (*identifyResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	response, err := peer.Call[identifyRequest, identifyResponse](ctx, b.node.options.Client, member.Address, identifyProcedure, request)
	if err != nil {
		return nil, errors.Newf("identify to %s: %w", member.ID, err)
	}
	return response, nil
}

// initialFolders returns the folders with which the group started, or
// errUnknownFolder if the requesting folder is not one of them.
func initialFolders(response *identifyResponse, request *identifyRequest) (map[string]string, error) {
	if response.Initial[request.ID] != request.Folder {
		return nil, errUnknownFolder
	}
	return response.Initial, nil
}

// serveIdentify returns this member's folder name to another initial member. Both
// must have the same initial members in their settings.
func (n *Node) serveIdentify(_ context.Context, request *identifyRequest) (*identifyResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return nil, n.failed
	}
	if !slices.Equal(request.Initial, n.initialIDs()) {
		return nil, errors.Newf("%s lists other first members: make the settings equal: %w", request.ID, peer.ErrInvalid)
	}
	return &identifyResponse{Folder: n.identity.Folder, Admitted: n.identity.Admitted, Initial: n.identity.Initial}, nil
}

// admit marks the data folder as part of the group. An initial member starts with
// the initial configuration and passes the folders of all initial members. A
// learner passes nil and receives its configuration from the leader. The caller
// holds n.mu.
func (n *Node) admit(folders map[string]string) {
	n.identity.Admitted = true
	n.identity.Initial = folders
	r := record{Term: n.term, Vote: n.vote, Identity: &n.identity}
	if folders != nil {
		n.baseConfiguration = configuration{Members: n.options.Members}
		r.Head = &segmentHead{Configuration: n.baseConfiguration}
	}
	err := n.writer.append(r)
	if err != nil {
		n.fail(err)
		return
	}
	n.refreshConfiguration()
}

// isAdmitted reports whether the data folder is part of the group.
func (n *Node) isAdmitted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.identity.Admitted
}

// isInitialMember reports whether the settings list this member as an initial
// member of the group.
func (n *Node) isInitialMember() bool {
	return slices.Contains(n.initialIDs(), n.options.ID)
}

// initialIDs returns the sorted ids of the initial members.
func (n *Node) initialIDs() []string {
	var ids []string
	for _, member := range n.options.Members {
		ids = append(ids, member.ID)
	}
	slices.Sort(ids)
	return ids
}

// errWrongRecipient reports a request for a member id that no longer has this
// address.
var errWrongRecipient = errors.Newf("another member has this address now: %w", peer.ErrInvalid)

// checkRecipient returns errWrongRecipient if a request is addressed to another
// member id. Requests without a recipient are accepted.
func (n *Node) checkRecipient(to string) error {
	if to != "" && to != n.options.ID {
		return errWrongRecipient
	}
	return nil
}

// checkActive returns an error unless the member is admitted and has not failed.
func (n *Node) checkActive() error {
	if n.failed != nil {
		return n.failed
	}
	if !n.identity.Admitted {
		return errNotAdmitted
	}
	return nil
}
