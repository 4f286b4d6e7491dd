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
	identifyInterval  = 200 * time.Millisecond
)

var (
	// errNotAdmitted reports a member whose folder belongs to no group yet.
	errNotAdmitted = errors.Newf("this member's data folder is empty and not admitted to the group: %w", peer.ErrUnavailable)
	// errFolderLost reports a folder that is not the one that the group knows.
	errUnknownFolder = errors.New("the group knows this member id with another data folder: remove the member and add it under a new id")
)

type identifyRequest struct {
	ID      string   `cbor:"1,keyasint"`
	Folder  string   `cbor:"2,keyasint"`
	Initial []string `cbor:"3,keyasint"`
}

type identifyResponse struct {
	Folder   string `cbor:"1,keyasint"`
	Admitted bool   `cbor:"2,keyasint,omitempty"`
	// First holds the folders of the first members as the group began.
	Initial map[string]string `cbor:"3,keyasint,omitempty"`
}

// joiner admits the empty folder of a first member. A new group begins only
// once all its first members have named their folders to each other, so that
// an empty folder under a known id is told from a new one.
type bootstrapper struct {
	node *Node
}

func (b *bootstrapper) run() {
	n := b.node
	for {
		folders, err := b.collectFolders()
		if err == nil {
			n.mu.Lock()
			if !n.identity.Admitted && n.failed == nil {
				n.admit(folders)
			}
			n.mu.Unlock()
		}
		if n.isAdmitted() {
			return
		}
		err = n.pause(context.Background(), identifyInterval)
		if err != nil {
			return
		}
	}
}

// collect asks the other first members for their folders. One that is admitted
// knows them all; otherwise every one must answer.
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

func (b *bootstrapper) identify(member Member, request *identifyRequest) (*identifyResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	response, err := peer.Call[identifyRequest, identifyResponse](ctx, b.node.options.Client, member.Address, identifyProcedure, request)
	if err != nil {
		return nil, errors.Newf("identify to %s: %w", member.ID, err)
	}
	return response, nil
}

// knownFolders returns the folders that the group began with, if this one is
// among them.
func initialFolders(response *identifyResponse, request *identifyRequest) (map[string]string, error) {
	if response.Initial[request.ID] != request.Folder {
		return nil, errUnknownFolder
	}
	return response.Initial, nil
}

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

// admit makes the folder one of the group's. A first member starts from the
// first configuration, a learner from what the leader sends.
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

func (n *Node) isAdmitted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.identity.Admitted
}

func (n *Node) isInitialMember() bool {
	return slices.Contains(n.initialIDs(), n.options.ID)
}

// firstIDs returns the sorted ids of the first members.
func (n *Node) initialIDs() []string {
	var ids []string
	for _, member := range n.options.Members {
		ids = append(ids, member.ID)
	}
	slices.Sort(ids)
	return ids
}

// errOtherMember reports a request that was meant for a member whose folder is
// no longer at this address.
var errWrongRecipient = errors.Newf("another member has this address now: %w", peer.ErrInvalid)

// isMeant refuses what was sent to another member id at this address.
func (n *Node) checkRecipient(to string) error {
	if to != "" && to != n.options.ID {
		return errWrongRecipient
	}
	return nil
}

// takesPart returns an error unless the member may answer others.
func (n *Node) checkActive() error {
	if n.failed != nil {
		return n.failed
	}
	if !n.identity.Admitted {
		return errNotAdmitted
	}
	return nil
}
