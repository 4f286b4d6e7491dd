package group

import (
	"encoding/json"
	"maps"

	"github.com/cactusbay/cactusbay/internal/config"
)

// ChangeEvacuation begins or ends the evacuation of a failure domain. It changes the
// configuration that it finds when it is applied, so that it conflicts with no other
// change, and changes nothing if the failure domain is as ordered already.
type ChangeEvacuation struct {
	// ID identifies the order in the history of the configuration.
	ID            string `cbor:"1,keyasint"`
	FailureDomain string `cbor:"2,keyasint"`
	// Evacuated is false if the order ends the evacuation.
	Evacuated bool `cbor:"3,keyasint,omitempty"`
	// Operator is the name of the operator's key; empty if the site has no keys.
	Operator string `cbor:"4,keyasint,omitempty"`
	// SubmittedAt is when a control instance received the order, in milliseconds since
	// 1970.
	SubmittedAt int64 `cbor:"5,keyasint,omitempty"`
}

func (ChangeEvacuation) isCommand() {}

// patch returns the merge patch with which watching instances make the same change.
func (c ChangeEvacuation) patch() ([]byte, error) {
	var domain *config.FailureDomain
	if c.Evacuated {
		domain = &config.FailureDomain{Evacuated: true}
	}
	return json.Marshal(map[string]map[string]*config.FailureDomain{"failure_domains": {c.FailureDomain: domain}})
}

// changeEvacuation applies an order. Its result is CodeNotFound before the first
// configuration, because there is nothing to change.
func (c *configuration) changeEvacuation(command ChangeEvacuation) Result {
	current := c.current()
	if current.Number == 0 {
		return Result{Code: CodeNotFound, Detail: "there is no configuration yet"}
	}
	if !config.IsFailureDomainName(command.FailureDomain) {
		return Result{Code: CodeInvalid, Detail: "the name of a failure domain must have 1 to 128 bytes", Version: current.Number}
	}
	base := config.Encoded{Document: c.parsed, JSON: current.Document}
	domains, err := base.FailureDomains()
	if err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error(), Version: current.Number}
	}
	if domains[command.FailureDomain].Evacuated == command.Evacuated {
		return Result{Code: CodeDone, Version: current.Number, Release: c.Release}
	}
	changed, err := base.WithFailureDomains(withEvacuation(domains, command))
	if err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error(), Version: current.Number}
	}
	patch, err := command.patch()
	if err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error(), Version: current.Number}
	}
	c.append(current, Change{
		Number:      current.Number + 1,
		Patch:       patch,
		PatchID:     command.ID,
		Operator:    command.Operator,
		SubmittedAt: command.SubmittedAt,
	})
	c.Number = current.Number + 1
	c.Document = changed.JSON
	c.parsed = changed.Document
	return Result{Code: CodeDone, Version: c.Number, Release: c.Release}
}

// withEvacuation returns a copy of the failure domains with an order applied.
func withEvacuation(domains map[string]config.FailureDomain, command ChangeEvacuation) map[string]config.FailureDomain {
	changed := maps.Clone(domains)
	if changed == nil {
		changed = make(map[string]config.FailureDomain)
	}
	if command.Evacuated {
		changed[command.FailureDomain] = config.FailureDomain{Evacuated: true}
	} else {
		delete(changed, command.FailureDomain)
	}
	return changed
}

// keepEvacuations returns a whole document with the failure domains of the current version
// in place of its own: operators who replace the document order no evacuation by it, and
// withdraw none.
func (c *configuration) keepEvacuations(document []byte) ([]byte, error) {
	domains, err := config.Encoded{Document: c.parsed, JSON: c.current().Document}.FailureDomains()
	if err != nil {
		return nil, err
	}
	kept, err := config.Encoded{JSON: document}.WithFailureDomains(domains)
	return kept.JSON, err
}
