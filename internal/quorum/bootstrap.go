package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// identifyInterval is the pause between two attempts to bootstrap the group.
const identifyInterval = 200 * time.Millisecond

// errTooFewInitial reports that too many initial members were lost before the group
// started.
var errTooFewInitial = errors.Newf("most initial members were lost before the group started: %w", peer.ErrUnavailable)

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
