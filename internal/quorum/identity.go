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
	// the bootstrap of the group. It is empty for a member that was added later.
	Initial map[string]string `cbor:"3,keyasint,omitempty"`
	// ID is the id of the responding member. Another member may have taken over an
	// initial member's address.
	ID string `cbor:"4,keyasint,omitempty"`
}

// serveIdentify returns this member's folder name to an initial member. Before the
// group has started, two initial members must have the same ones in their settings.
func (n *Node) serveIdentify(_ context.Context, request *identifyRequest) (*identifyResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return nil, n.failed
	}
	if !n.identity.Admitted && n.isInitialMember() && !slices.Equal(request.Initial, n.initialIDs()) {
		return nil, errors.Newf("%s lists other first members: make the settings equal: %w", request.ID, peer.ErrInvalid)
	}
	return &identifyResponse{ID: n.options.ID, Folder: n.identity.Folder, Admitted: n.identity.Admitted, Initial: n.identity.Initial}, nil
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
