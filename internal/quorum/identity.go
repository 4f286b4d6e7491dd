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
	// errTooFewInitial reports that too many initial members were lost before the
	// group started.
	errTooFewInitial = errors.Newf("most initial members were lost before the group started: %w", peer.ErrUnavailable)
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

// bootstrapper admits the empty data folder of an initial member. A new group
// starts only after all its initial members have exchanged the names of their
// folders, so that a folder that was lost and recreated under a known id is
// distinguished from the folder of a new group. Such a folder is rejected.
//
// Initial members that were lost before the start are left out, if a majority of
// the initial members remains: a group that had started without one of these could
// have committed nothing. The lost ones remain voters of the new group until the
// leader replaces them.
type bootstrapper struct {
	node *Node
	// failure is why the last attempt failed, or nil. It is guarded by node.mu.
	failure error
}

// run tries to bootstrap until the folder is admitted or rejected or the node
// stops.
func (b *bootstrapper) run() {
	n := b.node
	for {
		folders, err := b.collectFolders()
		if b.finish(folders, err) {
			return
		}
		err = n.pause(context.Background(), identifyInterval)
		if err != nil {
			return
		}
	}
}

// finish admits or rejects the folder according to the result of an attempt. It
// reports whether no further attempt is needed.
func (b *bootstrapper) finish(folders map[string]string, err error) bool {
	n := b.node
	n.mu.Lock()
	defer n.mu.Unlock()
	b.failure = err
	switch {
	case n.identity.Admitted:
	case errors.Is(err, errUnknownFolder):
		n.rejected = true
	case err == nil && n.failed == nil:
		n.admit(folders)
	}
	return n.identity.Admitted || n.rejected
}

// survey is what a bootstrapper has learned from the other members.
type survey struct {
	request *identifyRequest
	// folders holds the folder names of the initial members that are not admitted,
	// by id.
	folders map[string]string
	// initial holds the initial folders of a group that includes this member's
	// folder, or is nil.
	initial map[string]string
	// founded is set once a member of a group has responded, and excluded once one
	// has that knows the initial folders, without this member's.
	founded  bool
	excluded bool
	// missing is why an initial member's state is unknown, or nil.
	missing error
}

// collectFolders requests the folder names of the other initial members and returns
// those with which the group starts or has started. It returns errUnknownFolder if
// the group has started without this member's folder. Members that were added later
// don't know the initial folders; their word counts if no initial member is missing.
func (b *bootstrapper) collectFolders() (map[string]string, error) {
	n := b.node
	s := &survey{
		request: &identifyRequest{ID: n.options.ID, Folder: n.identity.Folder, Initial: n.initialIDs()},
		folders: map[string]string{n.options.ID: n.identity.Folder},
	}
	for _, member := range n.options.Members {
		if member.ID != n.options.ID {
			response, err := b.identify(member.Address, s.request)
			s.addInitialMember(member, response, err, n.isRemoved(member))
		}
	}
	for _, address := range n.contacts() {
		response, err := b.identify(address, s.request)
		if err == nil && response.Admitted {
			s.addAdmitted(response)
		}
	}
	return s.result(n.options.Members)
}

// addInitialMember records the response of an initial member. One that is removed
// and does not respond is lost, and so is one whose address another member has.
func (s *survey) addInitialMember(member Member, response *identifyResponse, err error, removed bool) {
	switch {
	case err != nil && !removed:
		s.missing = err
	case err != nil:
	case response.Admitted:
		s.addAdmitted(response)
	case response.ID == "" || response.ID == member.ID:
		s.folders[member.ID] = response.Folder
	}
}

// addAdmitted records the response of a member of a group.
func (s *survey) addAdmitted(response *identifyResponse) {
	s.founded = true
	switch {
	case response.Initial[s.request.ID] == s.request.Folder:
		s.initial = response.Initial
	case len(response.Initial) > 0:
		s.excluded = true
	}
}

// result returns the initial folders of a group of these initial members, or why they
// are not known.
func (s *survey) result(initial []Member) (map[string]string, error) {
	switch {
	case s.initial != nil:
		return s.initial, nil
	case s.excluded:
		return nil, errUnknownFolder
	case s.missing != nil:
		return nil, s.missing
	case s.founded:
		return nil, errUnknownFolder
	case len(s.folders) <= len(initial)/2:
		return nil, errTooFewInitial
	default:
		return s.folders, nil
	}
}

// isRemoved reports whether the contacts no longer include an initial member.
func (n *Node) isRemoved(member Member) bool {
	return n.options.Contacts != nil && !slices.Contains(n.options.Contacts(), member.Address)
}

// contacts returns the addresses at which the group may be reached, without those of
// the initial members.
func (n *Node) contacts() []string {
	if n.options.Contacts == nil {
		return nil
	}
	return slices.DeleteFunc(n.options.Contacts(), func(address string) bool {
		return slices.ContainsFunc(n.options.Members, func(m Member) bool { return m.Address == address })
	})
}

// identify sends this member's folder name to the member at address and returns the
// response.
func (b *bootstrapper) identify(address string, request *identifyRequest) (*identifyResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	response, err := peer.Call[identifyRequest, identifyResponse](ctx, b.node.options.Client, address, identifyProcedure, request)
	if err != nil {
		return nil, errors.Newf("identify to %s: %w", address, err)
	}
	return response, nil
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
