// Package config holds the numbered configuration that operators patch:
// workspaces, backend servers, works, routes and limits.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/cactusbay/cactusbay/internal/check"
)

// Kinds of a work and of the backend servers that serve it.
const (
	KindModel   = "model"
	KindService = "service"
)

// States of a backend server in the configuration.
const (
	StateActive  = "active"
	StateLeaving = "leaving"
)

// Priorities of a work, the most urgent first.
const (
	PriorityInteractive = "interactive"
	PriorityStandard    = "standard"
	PriorityBatch       = "batch"
)

// Defaults of a work.
const (
	DefaultDeadline  = 60 * time.Second
	DefaultMaxTokens = 1024
)

// Document is one version of the configuration.
type Document struct {
	// Release is the operators' own number of a document that replaced the
	// whole one; 0 means that none did.
	Release        uint64                   `json:"release,omitempty"`
	Workspaces     map[string]Workspace     `json:"workspaces,omitempty"`
	BackendServers map[string]BackendServer `json:"backend_servers,omitempty"`
	Works          map[string]Work          `json:"works,omitempty"`
	Routes         map[string]Route         `json:"routes,omitempty"`
	HostRoutes     map[string]HostRoute     `json:"host_routes,omitempty"`
	Upstreams      map[string]Upstream      `json:"upstreams,omitempty"`
	Limits         Limits                   `json:"limits,omitzero"`
}

// Workspace is a holder of a prepaid budget and of callers' keys.
type Workspace struct {
	// KeyHashes are SHA-256 hashes of callers' keys, in hex.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Works are the names of the works that the callers may use.
	Works []string `json:"works,omitempty"`
	// Weight is the workspace's part of a crowded backend server; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Priority goes before that of a host route; 0 is the most urgent.
	Priority *int `json:"priority,omitempty"`
	// Budget is the total of tokens that the workspace may ever spend; unset
	// means that deposits make the budget.
	Budget *int64 `json:"budget,omitempty"`
}

// BackendServer is a model engine or a plain service.
type BackendServer struct {
	// Address is an IP number and a port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Kind          string `json:"kind"`
	// State is active, the default, or leaving.
	State string `json:"state,omitempty"`
	// Concurrency bounds the requests in progress; 0 means the default.
	Concurrency int `json:"concurrency,omitempty"`
}

// Work is a kind of request.
type Work struct {
	Kind string `json:"kind"`
	// Model is the name that engines are asked for.
	Model    string `json:"model,omitempty"`
	Priority string `json:"priority,omitempty"`
	// Deadline bounds the time to the whole answer.
	Deadline *check.Duration `json:"deadline,omitempty"`
	// Repeatable is true unless set to false.
	Repeatable     *bool    `json:"repeatable,omitempty"`
	BackendServers []string `json:"backend_servers,omitempty"`
	// MaxTokens bounds the generated tokens of one request.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// CallTokens is the price in tokens of one call to a plain service.
	CallTokens int64 `json:"call_tokens,omitempty"`
}

// Route maps a public name, a model or a service, to a work.
type Route struct {
	Work string `json:"work"`
}

// Limits bound what an entry takes in.
type Limits struct {
	BodyBytes       int64 `json:"body_bytes,omitempty"`
	QueuedRequests  int   `json:"queued_requests,omitempty"`
	RequestsRunning int   `json:"requests_running,omitempty"`
	// HeaderBytes bounds the header of one request.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// HeaderTimeout bounds the time in which a header arrives.
	HeaderTimeout *check.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout *check.Duration `json:"idle_timeout,omitempty"`
}

// Budgets returns the totals of the workspaces that have one, in tokens.
func (d *Document) Budgets() map[string]int64 {
	budgets := make(map[string]int64)
	for name, workspace := range d.Workspaces {
		if workspace.Budget != nil {
			budgets[name] = *workspace.Budget
		}
	}
	return budgets
}

// IsRepeatable tells whether calls of the work may run more than once.
func (w Work) IsRepeatable() bool {
	return w.Repeatable == nil || *w.Repeatable
}

// DeadlineOrDefault returns the deadline or its default.
func (w Work) DeadlineOrDefault() time.Duration {
	if w.Deadline == nil {
		return DefaultDeadline
	}
	return time.Duration(*w.Deadline)
}

// TokenLimit returns the most tokens that one request may generate.
func (w Work) TokenLimit() int64 {
	if w.MaxTokens == 0 {
		return DefaultMaxTokens
	}
	return w.MaxTokens
}

// IsLeaving tells whether the configuration takes the backend server out.
func (b BackendServer) IsLeaving() bool {
	return b.State == StateLeaving
}

// Allows tells whether the workspace may use the work.
func (w Workspace) Allows(work string) bool {
	for _, name := range w.Works {
		if name == work {
			return true
		}
	}
	return false
}

// HashKey returns the hash under which a key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOf returns the name of the workspace whose key this is. Every hash
// is compared, each in constant time.
func (d *Document) WorkspaceOf(key string) (string, bool) {
	hash := []byte(HashKey(key))
	found := ""
	for name, workspace := range d.Workspaces {
		for _, candidate := range workspace.KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(candidate)) == 1 {
				found = name
			}
		}
	}
	return found, found != ""
}
