package roster

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/quorum"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	joinProcedure = "/roster/join"
	// serveTimeout is shorter than joinTimeout, so that the response arrives in
	// time.
	serveTimeout = 700 * time.Millisecond
	joinTimeout  = 900 * time.Millisecond
	// joinInterval is the time between two checks of the membership.
	joinInterval = 200 * time.Millisecond
	// maxLeaderSilence is the time without a message from a leader after which
	// a member sends a join request to learn whether it was retired.
	maxLeaderSilence = 3 * time.Second
)

type joinRequest struct {
	Member quorum.Member `cbor:"1,keyasint"`
}

type joinResponse struct {
	// Addresses are the peer addresses of the members.
	Addresses []string `cbor:"1,keyasint,omitempty"`
	// Retired means that the group has removed the member permanently.
	Retired bool `cbor:"2,keyasint,omitempty"`
}

// Handle registers the procedure on mux by which instances join the control
// group of node. secret authenticates the callers.
func Handle(mux *http.ServeMux, secret peer.Secret, node *quorum.Node) {
	peer.Handle(mux, secret, joinProcedure, func(ctx context.Context, request *joinRequest) (*joinResponse, error) {
		return serveJoin(ctx, node, request)
	})
}

func serveJoin(ctx context.Context, node *quorum.Node, request *joinRequest) (*joinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	err := node.AddLearner(ctx, request.Member)
	if errors.Is(err, quorum.ErrRetired) {
		return &joinResponse{Retired: true, Addresses: Addresses(node)}, nil
	}
	if err != nil {
		return nil, errors.Newf("join the control group: %w", err)
	}
	return &joinResponse{Addresses: Addresses(node)}, nil
}

// Addresses returns the peer addresses of the members that node knows.
func Addresses(node *quorum.Node) []string {
	var addresses []string
	for _, member := range node.Status().Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// Joiner requests to join the control group until the node is a member, and
// detects that the group has retired it.
type Joiner struct {
	Node      *quorum.Node
	Member    quorum.Member
	Directory *group.Directory
	Client    *peer.Client
	Log       *log.Logger

	retired chan struct{}
	stop    context.CancelFunc
	done    chan struct{}
}

// Start starts to watch the membership in the background. Close must be called
// to stop.
func (j *Joiner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	j.stop = cancel
	j.done = make(chan struct{})
	j.retired = make(chan struct{})
	go j.run(ctx)
}

// Close stops watching and waits until the background work has ended.
func (j *Joiner) Close() {
	j.stop()
	<-j.done
}

// Retired returns a channel that is closed once the group has retired the
// member, or has turned out to exist without the folder of this founder.
func (j *Joiner) Retired() <-chan struct{} {
	return j.retired
}

func (j *Joiner) run(ctx context.Context) {
	defer close(j.done)
	for ctx.Err() == nil {
		sleep.For(ctx, joinInterval)
		status := j.Node.Status()
		switch {
		case status.Rejected:
			j.signalRetired("the control group has started without this founder's data folder")
			return
		case status.Retired, ctx.Err() == nil && j.shouldJoin(status) && j.requestJoin(ctx):
			j.signalRetired("the control group has retired this member")
			return
		}
	}
}

// signalRetired closes the channel of Retired and logs why.
func (j *Joiner) signalRetired(reason string) {
	j.Log.Warn(reason, "member", j.Member.ID)
	close(j.retired)
}

// shouldJoin reports whether the node must send a join request: it is not a
// founding or failed member or the leader, and either was never admitted or has
// received no message from a leader for maxLeaderSilence.
func (j *Joiner) shouldJoin(status quorum.Status) bool {
	if status.Role == "leader" || status.Failure != "" || status.Founding {
		return false
	}
	return !status.Admitted || status.LeaderContactAge > maxLeaderSilence.Seconds()
}

// requestJoin sends a join request to the known control instances, one after
// another, until one responds. It reports whether the group has retired the
// member.
func (j *Joiner) requestJoin(ctx context.Context) bool {
	for _, address := range j.Contacts() {
		response, err := j.sendJoin(ctx, address)
		if err != nil {
			j.Log.Debug("join request failed; trying the next control instance", "at", address, "err", err.Error())
			continue
		}
		j.Directory.SetMembers(response.Addresses)
		return response.Retired
	}
	return false
}

// Contacts returns the peer addresses at which the group may be reached: those in
// the directory and then those of the members that the node knows from its log,
// without its own.
func (j *Joiner) Contacts() []string {
	var others []string
	for _, address := range slices.Concat(j.Directory.Addresses(), Addresses(j.Node)) {
		if address != j.Member.Address && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	return others
}

func (j *Joiner) sendJoin(ctx context.Context, address string) (*joinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return peer.Call[joinRequest, joinResponse](ctx, j.Client, address, joinProcedure, &joinRequest{Member: j.Member})
}
