package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxEvacuationTries bounds how often an order is made again after another change was
// accepted between its read and its patch.
const maxEvacuationTries = 5

// ErrUnknownFailureDomain reports an order for a failure domain that has no backend server.
// It changed nothing.
var ErrUnknownFailureDomain = errors.New("no backend server is in that failure domain")

// FailureDomain is a failure domain that has backend servers or is evacuated.
type FailureDomain struct {
	Name string `json:"name"`
	// BackendServers is the number of backend servers in it.
	BackendServers int `json:"backend_servers"`
	// Evacuated means that its backend servers get no new requests.
	Evacuated bool `json:"evacuated"`
	// Version is the version that began the evacuation, and Since when it was submitted, in
	// RFC 3339 format. They are empty if the history does not hold the change any more.
	Version uint64 `json:"version,omitempty"`
	Since   string `json:"since,omitempty"`
}

// failureDomainState is the state of a failure domain in the document or in a patch.
type failureDomainState struct {
	Evacuated bool `json:"evacuated"`
}

// failureDomainsDocument is the part of the document that concerns failure domains.
type failureDomainsDocument struct {
	FailureDomains map[string]failureDomainState `json:"failure_domains"`
	BackendServers map[string]struct {
		FailureDomain string `json:"failure_domain"`
	} `json:"backend_servers"`
}

// FailureDomains returns the failure domains by name.
func (c *Client) FailureDomains(ctx context.Context) ([]FailureDomain, error) {
	domains, version, err := c.failureDomains(ctx)
	if err != nil {
		return nil, err
	}
	err = c.addOrigins(ctx, domains, version)
	if err != nil {
		return nil, err
	}
	var sorted []FailureDomain
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		sorted = append(sorted, *domains[name])
	}
	return sorted, nil
}

// failureDomains returns the failure domains of the current version, and its number.
func (c *Client) failureDomains(ctx context.Context) (map[string]*FailureDomain, uint64, error) {
	configuration, err := c.Configuration(ctx, 0)
	if err != nil {
		return nil, 0, err
	}
	var document failureDomainsDocument
	err = json.Unmarshal(configuration.Document, &document)
	if err != nil {
		return nil, 0, errors.Newf("decode configuration: %w", err)
	}
	domains := make(map[string]*FailureDomain)
	for _, server := range document.BackendServers {
		if domains[server.FailureDomain] == nil {
			domains[server.FailureDomain] = &FailureDomain{Name: server.FailureDomain}
		}
		domains[server.FailureDomain].BackendServers++
	}
	for name, state := range document.FailureDomains {
		if !state.Evacuated {
			continue
		}
		if domains[name] == nil {
			domains[name] = &FailureDomain{Name: name}
		}
		domains[name].Evacuated = true
	}
	return domains, configuration.Version, nil
}

// addOrigins sets Version and Since of the evacuated failure domains from the history up to
// a version.
func (c *Client) addOrigins(ctx context.Context, domains map[string]*FailureDomain, version uint64) error {
	missing := 0
	for _, domain := range domains {
		if domain.Evacuated {
			missing++
		}
	}
	for missing > 0 && version > 0 {
		history, err := c.History(ctx, version)
		if err != nil {
			return err
		}
		for _, change := range slices.Backward(history.Changes) {
			missing -= addOrigin(domains, change)
		}
		if len(history.Changes) == 0 || history.Changes[0].Version <= history.Oldest {
			return nil
		}
		version = history.Changes[0].Version - 1
	}
	return nil
}

// addOrigin sets Version and Since of the failure domains whose evacuation a change began,
// unless a later change did, and returns their number.
func addOrigin(domains map[string]*FailureDomain, change Change) int {
	var patch failureDomainsDocument
	err := json.Unmarshal(change.Patch, &patch)
	if err != nil {
		return 0
	}
	found := 0
	for name, state := range patch.FailureDomains {
		domain := domains[name]
		if state.Evacuated && domain != nil && domain.Evacuated && domain.Version == 0 {
			domain.Version = change.Version
			domain.Since = change.SubmittedAt
			found++
		}
	}
	return found
}

// BeginEvacuation orders that the backend servers of a failure domain get no new requests.
// It returns the version that the order created, or the current one if the failure domain
// was evacuated already. It may be repeated. The error may wrap ErrUnknownFailureDomain.
func (c *Client) BeginEvacuation(ctx context.Context, failureDomain string) (PatchResult, error) {
	return c.changeEvacuation(ctx, failureDomain, true)
}

// EndEvacuation withdraws the order of BeginEvacuation, and returns the same.
func (c *Client) EndEvacuation(ctx context.Context, failureDomain string) (PatchResult, error) {
	return c.changeEvacuation(ctx, failureDomain, false)
}

func (c *Client) changeEvacuation(ctx context.Context, failureDomain string, evacuated bool) (PatchResult, error) {
	patch, err := evacuationPatch(failureDomain, evacuated)
	if err != nil {
		return PatchResult{}, err
	}
	for tries := 1; ; tries++ {
		domains, version, err := c.failureDomains(ctx)
		if err != nil {
			return PatchResult{}, err
		}
		domain := domains[failureDomain]
		if domain == nil {
			return PatchResult{}, errors.Newf("%q: %w", failureDomain, ErrUnknownFailureDomain)
		}
		if domain.Evacuated == evacuated {
			return PatchResult{Version: version}, nil
		}
		result, err := c.Patch(ctx, Patch{ID: rand.Text(), Against: version, Patch: patch})
		var problem *Problem
		if !errors.As(err, &problem) || problem.Code != "conflict" || tries == maxEvacuationTries {
			return result, err
		}
	}
}

// evacuationPatch returns the merge patch that begins or ends an evacuation.
func evacuationPatch(failureDomain string, evacuated bool) ([]byte, error) {
	var state *failureDomainState
	if evacuated {
		state = &failureDomainState{Evacuated: true}
	}
	return json.Marshal(map[string]map[string]*failureDomainState{"failure_domains": {failureDomain: state}})
}
