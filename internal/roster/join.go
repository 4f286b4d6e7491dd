package roster

import (
	"context"
	"net/http"
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
	// serveTimeout is less than joinTimeout, so that the answer arrives.
	serveTimeout = 700 * time.Millisecond
	joinTimeout  = 900 * time.Millisecond
	joinInterval = 200 * time.Millisecond
	// lonelyAfter is the silence of the leader after which a member asks
	// whether it still belongs to the group.
	lonelyAfter = 3 * time.Second
)

type joinRequest struct {
	Member quorum.Member `cbor:"1,keyasint"`
}

type joinResponse struct {
	// Addresses are those of the members.
	Addresses []string `cbor:"1,keyasint,omitempty"`
	// Retired tells that the group removed the member for good.
	Retired bool `cbor:"2,keyasint,omitempty"`
}

// Handle lets instances join the group of node.
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
		return &joinResponse{Retired: true}, nil
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

// Joiner asks to join the group until the node is a member, and notices when
// the group has retired it.
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

// Start begins to watch the membership.
func (j *Joiner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	j.stop = cancel
	j.done = make(chan struct{})
	j.retired = make(chan struct{})
	go j.run(ctx)
}

// Close ends the watch.
func (j *Joiner) Close() {
	j.stop()
	<-j.done
}

// Retired is closed when the group has retired the member.
func (j *Joiner) Retired() <-chan struct{} {
	return j.retired
}

func (j *Joiner) run(ctx context.Context) {
	defer close(j.done)
	for ctx.Err() == nil {
		sleep.For(ctx, joinInterval)
		status := j.Node.Status()
		if status.Retired {
			j.retire()
			return
		}
		if ctx.Err() == nil && j.isOutside(status) && j.ask(ctx) {
			j.retire()
			return
		}
	}
}

func (j *Joiner) retire() {
	j.Log.Warn("the control group has retired this member", "member", j.Member.ID)
	close(j.retired)
}

// isOutside tells whether the node hears no leader, though it isn't founding.
func (j *Joiner) isOutside(status quorum.Status) bool {
	if status.Role == "leader" || status.Failure != "" || status.Founding {
		return false
	}
	return !status.Admitted || status.LeaderContactAge > lonelyAfter.Seconds()
}

// ask asks the known control instances in turn and tells whether the member
// is retired.
func (j *Joiner) ask(ctx context.Context) bool {
	for _, address := range j.Directory.Addresses() {
		if address == j.Member.Address {
			continue
		}
		response, err := j.askOne(ctx, address)
		if err != nil {
			j.Log.Debug("could not join", "at", address, "err", err.Error())
			continue
		}
		if response.Retired {
			return true
		}
		j.Directory.Learn(response.Addresses)
		return false
	}
	return false
}

func (j *Joiner) askOne(ctx context.Context, address string) (*joinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return peer.Call[joinRequest, joinResponse](ctx, j.Client, address, joinProcedure, &joinRequest{Member: j.Member})
}
