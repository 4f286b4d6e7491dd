// Package quorum keeps the control group's replicated log.
package quorum

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/disk"
	"github.com/cactusbay/cactusbay/internal/journal"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const logFile = "quorum.log"

// Machine is the state that the log drives. Apply must depend on nothing but
// the state and the command.
type Machine interface {
	// Apply executes one committed command and returns its result.
	Apply(command []byte) []byte
}

// Member is one voter of the group.
type Member struct {
	ID      string
	Address string
}

// Options configure a Node.
type Options struct {
	ID      string
	Members []Member
	Folder  disk.Folder
	Machine Machine
	Client  *peer.Client
}

// Status describes a member for operators.
type Status struct {
	ID        string
	Leader    string
	Committed uint64
}

// Node is one member. The first member holds the log; the others forward to
// it and follow it.
type Node struct {
	options Options
	journal *journal.Journal

	mu        sync.Mutex
	committed uint64
}

// Open reads the log back into the machine and starts the member.
func Open(options Options) (*Node, error) {
	n := &Node{options: options}
	if !n.leads() {
		return n, nil
	}
	log, records, err := journal.Open(options.Folder, logFile)
	if err != nil {
		return nil, errors.Newf("open group log: %w", err)
	}
	for _, record := range records {
		options.Machine.Apply(record)
		n.committed++
	}
	n.journal = log
	return n, nil
}

// Handle serves the other members on mux.
func (n *Node) Handle(mux *http.ServeMux, secret peer.Secret) {
	peer.Handle(mux, secret, proposeProcedure, n.servePropose)
}

// Propose commits command and returns the machine's result.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if !n.leads() {
		return n.forward(ctx, command)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	err := <-n.journal.Append(command)
	if err != nil {
		return nil, errors.Newf("append to group log: %w: %w", peer.ErrUnavailable, err)
	}
	n.committed++
	return n.options.Machine.Apply(command), nil
}

// Status returns what the member knows of the group.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{ID: n.options.ID, Leader: n.options.Members[0].ID, Committed: n.committed}
}

// Close ends the member.
func (n *Node) Close() {
	if n.journal != nil {
		n.journal.Close()
	}
}

func (n *Node) leads() bool {
	return n.options.Members[0].ID == n.options.ID
}
