// Package config defines the versioned configuration that operators change by
// JSON merge patches: workspaces, backend servers, works, routes, upstreams and
// limits. It parses, validates and patches documents.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/cactusbay/cactusbay/internal/check"
)

// Kinds of a work and of the backend servers that serve it: model engines or
// plain services.
const (
	KindModel   = "model"
	KindService = "service"
)

// States of a backend server in the configuration. A leaving server gets no new
// requests.
const (
	StateActive  = "active"
	StateLeaving = "leaving"
)

// Priorities of a work, most urgent first.
const (
	PriorityInteractive = "interactive"
	PriorityStandard    = "standard"
	PriorityBatch       = "batch"
)

// Defaults of a work; DefaultMaxTokens bounds the generated tokens of one
// request.
const (
	DefaultDeadline  = 60 * time.Second
	DefaultMaxTokens = 1024
)

// Document is one version of the configuration.
type Document struct {
	// Release is the number that operators gave the newest document that
	// replaced the whole configuration; 0 means that none did.
	Release        uint64                   `json:"release,omitempty"`
	Workspaces     map[string]Workspace     `json:"workspaces,omitempty"`
	BackendServers map[string]BackendServer `json:"backend_servers,omitempty"`
	Works          map[string]Work          `json:"works,omitempty"`
	Routes         map[string]Route         `json:"routes,omitempty"`
	HostRoutes     map[string]HostRoute     `json:"host_routes,omitempty"`
	Upstreams      map[string]Upstream      `json:"upstreams,omitempty"`
	Limits         Limits                   `json:"limits,omitzero"`
	// FailureDomains are those that operators gave an order for. It must stay the last
	// field: Encoded.WithFailureDomains replaces it at the end of the encoding.
	FailureDomains map[string]FailureDomain `json:"failure_domains,omitempty"`
}

// Workspace is a tenant with a prepaid budget and API keys for its callers.
type Workspace struct {
	// KeyHashes are the SHA-256 hashes of the callers' keys, in lower-case hex.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// Works are the names of the works that the callers may use.
	Works []string `json:"works,omitempty"`
	// Weight is the workspace's weight in the fair queue for busy backend
	// servers; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Priority overrides the priority of a host route; 0 is the most urgent.
	Priority *int `json:"priority,omitempty"`
	// Budget is the total number of tokens that the workspace may ever spend.
	// If unset, deposits alone make up the budget.
	Budget *int64 `json:"budget,omitempty"`
	// AllowedRegions are the regions of the backend servers that the workspace's requests
	// may go to; empty means any.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

// BackendServer is a model engine or a plain service.
type BackendServer struct {
	// Address is an IP address and a port.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Kind          string `json:"kind"`
	// State is StateActive, the default, or StateLeaving.
	State string `json:"state,omitempty"`
	// Concurrency bounds the requests in progress; 0 means the default.
	Concurrency int `json:"concurrency,omitempty"`
}

// Work is a class of requests that the same backend servers handle with the
// same limits, such as chats with one model.
type Work struct {
	Kind string `json:"kind"`
	// Model is the model name that is sent to the engines.
	Model    string `json:"model,omitempty"`
	Priority string `json:"priority,omitempty"`
	// Deadline bounds the time until the whole response has arrived.
	Deadline *check.Duration `json:"deadline,omitempty"`
	// Repeatable states whether a request may run more than once; unset means
	// true.
	Repeatable     *bool    `json:"repeatable,omitempty"`
	BackendServers []string `json:"backend_servers,omitempty"`
	// MaxTokens bounds the generated tokens of one request; 0 means
	// DefaultMaxTokens.
	MaxTokens int64 `json:"max_tokens,omitempty"`
	// CallTokens is the price of one call to a plain service, in tokens.
	CallTokens int64 `json:"call_tokens,omitempty"`
}

// Route maps a public name of a model or a service to a work.
type Route struct {
	Work string `json:"work"`
}

// Limits bound the requests that an entry accepts.
type Limits struct {
	BodyBytes       int64 `json:"body_bytes,omitempty"`
	QueuedRequests  int   `json:"queued_requests,omitempty"`
	RequestsRunning int   `json:"requests_running,omitempty"`
	// HeaderBytes bounds the header of one request.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// HeaderTimeout bounds the time until the whole header has arrived.
	HeaderTimeout *check.Duration `json:"header_timeout,omitempty"`
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout *check.Duration `json:"idle_timeout,omitempty"`
}

// Budgets returns the configured budgets in tokens, by workspace.
func (d *Document) Budgets() map[string]int64 {
	budgets := make(map[string]int64)
	for name, workspace := range d.Workspaces {
		if workspace.Budget != nil {
			budgets[name] = *workspace.Budget
		}
	}
	return budgets
}

// IsRepeatable reports whether requests of the work may run more than once.
func (w Work) IsRepeatable() bool {
	return w.Repeatable == nil || *w.Repeatable
}

// DeadlineOrDefault returns the deadline or, if unset, DefaultDeadline.
func (w Work) DeadlineOrDefault() time.Duration {
	if w.Deadline == nil {
		return DefaultDeadline
	}
	return time.Duration(*w.Deadline)
}

// TokenLimit returns the maximum number of tokens that one request may
// generate.
func (w Work) TokenLimit() int64 {
	if w.MaxTokens == 0 {
		return DefaultMaxTokens
	}
	return w.MaxTokens
}

// IsLeaving reports whether the configuration takes the backend server out of
// service.
func (b BackendServer) IsLeaving() bool {
	return b.State == StateLeaving
}

// Allows reports whether the workspace may use the work.
func (w Workspace) Allows(work string) bool {
	for _, name := range w.Works {
		if name == work {
			return true
		}
	}
	return false
}

// HashKey returns the SHA-256 hash of a caller's key in lower-case hex, the
// form of KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOf returns the name of the workspace that a caller's key belongs to,
// or false if the key is unknown. It compares every hash in constant time, so
// that the response time reveals nothing about the keys.
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
