package group

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

// ReplaceConfiguration replaces the whole configuration if its release is
// higher than the current one. Otherwise it succeeds without effect, so that a
// resend or a document overtaken by a newer one does no harm.
type ReplaceConfiguration struct {
	// Document is validated and encoded by NewReplacement; members apply it
	// without parsing it.
	Document []byte `cbor:"1,keyasint"`
	// Source is the text that the operators sent, which reads return.
	Source []byte `cbor:"2,keyasint,omitempty"`
	// SubmittedAt is when a control instance received the document, in
	// milliseconds since 1970.
	SubmittedAt int64 `cbor:"3,keyasint,omitempty"`
	// Release is the release number of the document.
	Release uint64 `cbor:"4,keyasint"`
	// Budgets are the total tokens of the document's workspaces, by workspace.
	Budgets map[string]int64 `cbor:"5,keyasint,omitempty"`
}

// NewReplacement returns the command that puts document in force, or an error
// that lists the faults of an invalid document. source is the text that
// operators sent, and at is when it arrived.
func NewReplacement(document *config.Document, source []byte, at time.Time) (ReplaceConfiguration, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return ReplaceConfiguration{}, errors.Newf("encode configuration: %w", err)
	}
	valid, parsed, err := config.Apply(data, nil)
	if err != nil {
		return ReplaceConfiguration{}, err
	}
	return ReplaceConfiguration{
		Document:    valid,
		Source:      source,
		SubmittedAt: at.UnixMilli(),
		Release:     parsed.Release,
		Budgets:     parsed.Budgets(),
	}, nil
}

// replace applies a whole document, with the current evacuations, or changes nothing. The
// history continues with a new segment, which avoids computing a patch here.
func (c *configuration) replace(command ReplaceConfiguration) Result {
	if command.Release <= c.Release {
		return Result{Code: CodeDone, Version: c.Number, Release: c.Release}
	}
	document, err := c.keepEvacuations(command.Document)
	if err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error(), Version: c.Number, Release: c.Release}
	}
	c.Number++
	c.Document = document
	c.parsed = nil
	c.Release = command.Release
	c.Source = command.Source
	c.startSegment(segment{Number: c.Number, Document: document})
	return Result{Code: CodeDone, Version: c.Number, Release: c.Release}
}

// ReleasedDocument is the newest whole document as operators sent it.
type ReleasedDocument struct {
	// Release is 0 before the first whole document.
	Release uint64
	Source  []byte
}

// ReleasedDocument returns the newest whole document known to this instance.
func (g *Group) ReleasedDocument() ReleasedDocument {
	g.mu.Lock()
	defer g.mu.Unlock()
	return ReleasedDocument{Release: g.state.Configuration.Release, Source: g.state.Configuration.Source}
}

// replaceConfiguration applies a whole document and sets the budgets that it
// defines.
func (s *state) replaceConfiguration(command ReplaceConfiguration, check *invariant.Checker) Result {
	before := s.Configuration.Number
	result := s.Configuration.replace(command)
	if s.Configuration.Number != before {
		s.setBudgets(command.Budgets, check)
	}
	return result
}

// patchConfiguration applies a patch and sets the budgets of the resulting
// document.
func (s *state) patchConfiguration(command PatchConfiguration, check *invariant.Checker) Result {
	result := s.Configuration.patch(command)
	if result.Code != CodeDone {
		return result
	}
	document, err := s.Configuration.document()
	if err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error()}
	}
	s.setBudgets(document.Budgets(), check)
	return result
}

// setBudgets sets the total of each workspace whose configured budget changed.
func (s *state) setBudgets(totals map[string]int64, check *invariant.Checker) {
	for name, total := range totals {
		account := s.account(name)
		if account.Total == total {
			continue
		}
		account.SetTotal(total)
		s.storeAccount(name, account, check, Result{})
	}
}
