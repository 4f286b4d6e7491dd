package config

import (
	"encoding/hex"
	"net/netip"
	"sort"
	"strings"

	"github.com/cactusbay/cactusbay/internal/check"
)

const (
	keyHashBytes = 32
	maxNameBytes = 128
)

// Parse decodes a JSON document, rejecting unknown fields, and validates it.
// The error lists every fault.
func Parse(data []byte) (*Document, error) {
	faults := &check.Faults{}
	document := &Document{}
	check.Decode(data, document, faults)
	document.validate(faults, sortedNames)
	err := faults.Err()
	if err != nil {
		return nil, err
	}
	return document, nil
}

// isValid reports whether the document has no faults.
func (d *Document) isValid() bool {
	faults := &check.Faults{}
	d.validate(faults, unsortedNames)
	return faults.Err() == nil
}

// nameOrder says in which order entries are validated: sorted, so that the faults have
// one order, or not, which is faster.
type nameOrder bool

const (
	sortedNames   nameOrder = true
	unsortedNames nameOrder = false
)

func (d *Document) validate(faults *check.Faults, order nameOrder) {
	validateNames("workspaces", d.Workspaces, faults, order)
	validateNames("backend_servers", d.BackendServers, faults, order)
	validateNames("works", d.Works, faults, order)
	d.validateKeys(faults, order)
	for _, name := range namesOf(d.Workspaces, order) {
		d.validateWorkspace("workspaces."+name, d.Workspaces[name], faults)
	}
	addresses := make(map[string]string, len(d.BackendServers))
	for _, name := range namesOf(d.BackendServers, order) {
		validateServer("backend_servers."+name, d.BackendServers[name], addresses, faults)
	}
	for _, name := range namesOf(d.Works, order) {
		d.validateWork("works."+name, d.Works[name], faults)
	}
	for _, name := range namesOf(d.Routes, order) {
		_, known := d.Works[d.Routes[name].Work]
		if !known {
			faults.Add("routes."+name+".work", "names no work: write one of those under works")
		}
	}
	d.validateHostRoutes(faults, order)
	validateLimits(d.Limits, faults)
	d.validateFailureDomains(faults, order)
}

func validateNames[V any](path string, named map[string]V, faults *check.Faults, order nameOrder) {
	for _, name := range namesOf(named, order) {
		if !isValidName(name) {
			faults.Add(path+"."+name, "has a name that is not 1 to 128 letters, digits, dots, underscores and hyphens")
		}
	}
}

// isValidName reports whether a workspace, backend server or work may have the name,
// which appears in metrics and in the keys of stored data.
func isValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !isLetterOrDigit(name[0]) {
		return false
	}
	for i := range len(name) {
		if !isLetterOrDigit(name[i]) && !strings.ContainsRune("._-", rune(name[i])) {
			return false
		}
	}
	return true
}

func isLetterOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// validateKeys reports a caller's key that belongs to more than one workspace.
func (d *Document) validateKeys(faults *check.Faults, order nameOrder) {
	owners := make(map[string]string)
	for _, name := range namesOf(d.Workspaces, order) {
		for _, hash := range d.Workspaces[name].KeyHashes {
			owner, taken := owners[hash]
			if taken && owner != name {
				faults.Add("workspaces."+name+".key_hashes", "holds a key of workspace %s", owner)
			}
			owners[hash] = name
		}
	}
}

func (d *Document) validateWorkspace(path string, workspace Workspace, faults *check.Faults) {
	for _, hash := range workspace.KeyHashes {
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
			faults.Add(path+".key_hashes", "must hold SHA-256 hashes in 64 lower-case hex digits")
		}
	}
	for _, work := range workspace.Works {
		_, known := d.Works[work]
		if !known {
			faults.Add(path+".works", "names the work %q, which is not under works", work)
		}
	}
	if workspace.Weight < 0 {
		faults.Add(path+".weight", "must be 1 or more")
	}
	if workspace.Budget != nil && *workspace.Budget < 0 {
		faults.Add(path+".budget", "must be 0 or more tokens")
	}
	validateWorkspaceRegions(path+".allowed_regions", workspace, faults)
}

func validateServer(path string, server BackendServer, addresses map[string]string, faults *check.Faults) {
	_, err := netip.ParseAddrPort(server.Address)
	if err != nil {
		faults.Add(path+".address", `must be an IP number and a port, such as "127.0.0.1:9000"`)
	}
	other, taken := addresses[server.Address]
	if taken {
		faults.Add(path+".address", "is also the address of %s", other)
	}
	addresses[server.Address] = path
	if server.FailureDomain == "" {
		faults.Add(path+".failure_domain", "is missing: write the failure domain's name")
	}
	checkOneOf(path+".kind", server.Kind, faults, KindModel, KindService)
	if server.State != "" {
		checkOneOf(path+".state", server.State, faults, StateActive, StateLeaving)
	}
	if server.Concurrency < 0 {
		faults.Add(path+".concurrency", "must be 1 or more")
	}
}

func (d *Document) validateWork(path string, work Work, faults *check.Faults) {
	checkOneOf(path+".kind", work.Kind, faults, KindModel, KindService)
	if work.Kind == KindModel && work.Model == "" {
		faults.Add(path+".model", "is missing: write the name that engines know")
	}
	if work.Priority != "" {
		checkOneOf(path+".priority", work.Priority, faults, PriorityInteractive, PriorityStandard, PriorityBatch)
	}
	faults.Positive(path+".deadline", work.Deadline)
	for _, name := range work.BackendServers {
		server, known := d.BackendServers[name]
		if !known {
			faults.Add(path+".backend_servers", "names %q, which is not under backend_servers", name)
			continue
		}
		if server.Kind != work.Kind {
			faults.Add(path+".backend_servers", "names %q, whose kind is %s", name, server.Kind)
		}
	}
	if work.MaxTokens < 0 {
		faults.Add(path+".max_tokens", "must be 1 or more")
	}
	if work.CallTokens < 0 {
		faults.Add(path+".call_tokens", "must be 0 or more")
	}
}

func validateLimits(limits Limits, faults *check.Faults) {
	if limits.BodyBytes < 0 {
		faults.Add("limits.body_bytes", "must be 1 or more")
	}
	if limits.QueuedRequests < 0 {
		faults.Add("limits.queued_requests", "must be 1 or more")
	}
	if limits.RequestsRunning < 0 {
		faults.Add("limits.requests_running", "must be 1 or more")
	}
	if limits.HeaderBytes < 0 {
		faults.Add("limits.header_bytes", "must be 1 or more")
	}
	faults.Positive("limits.header_timeout", limits.HeaderTimeout)
	faults.Positive("limits.idle_timeout", limits.IdleTimeout)
}

func checkOneOf(path, value string, faults *check.Faults, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	faults.Add(path, "must be one of %q", allowed)
}

func namesOf[V any](m map[string]V, order nameOrder) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	if order == sortedNames {
		sort.Strings(names)
	}
	return names
}
