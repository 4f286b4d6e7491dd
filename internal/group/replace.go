package group

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

// ReplaceConfiguration puts a whole document in force whose release is higher
// than the one in force. Any other valid one is taken without effect, so that
// a resend and one that was overtaken do no harm.
type ReplaceConfiguration struct {
	// Document is valid and encoded by this program: it is applied unread.
	Document []byte `cbor:"1,keyasint"`
	// Source is the operators' own text, which a read gives back.
	Source []byte `cbor:"2,keyasint,omitempty"`
	// SubmittedAt is when a control instance took the document in, in
	// milliseconds since 1970.
	SubmittedAt int64 `cbor:"3,keyasint,omitempty"`
	// Release is the document's.
	Release uint64 `cbor:"4,keyasint"`
	// Budgets are the totals of the document's workspaces, in tokens.
	Budgets map[string]int64 `cbor:"5,keyasint,omitempty"`
}

// NewReplacement returns the command for a document, or an error when that is
// not valid.
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

// replace applies a whole document or changes nothing. The history goes on
// from the document, so that no difference is computed here.
func (c *configuration) replace(command ReplaceConfiguration) Result {
	if command.Release <= c.Release {
		return Result{Code: CodeDone, Version: c.Number, Release: c.Release}
	}
	c.Number++
	c.Document = command.Document
	c.Release = command.Release
	c.Source = command.Source
	c.startSegment(segment{Number: c.Number, Document: command.Document})
	return Result{Code: CodeDone, Version: c.Number, Release: c.Release}
}

// ReleasedDocument is the newest whole document as operators sent it.
type ReleasedDocument struct {
	// Release is 0 before the first one.
	Release uint64
	Source  []byte
}

// ReleasedDocument returns the newest whole document known here.
func (g *Group) ReleasedDocument() ReleasedDocument {
	g.mu.Lock()
	defer g.mu.Unlock()
	return ReleasedDocument{Release: g.state.Configuration.Release, Source: g.state.Configuration.Source}
}

// replaceConfiguration takes a whole document and the budgets that it names.
func (s *state) replaceConfiguration(command ReplaceConfiguration, check *invariant.Checker) Result {
	before := s.Configuration.Number
	result := s.Configuration.replace(command)
	if s.Configuration.Number != before {
		s.setBudgets(command.Budgets, check)
	}
	return result
}

// patchConfiguration takes a patch and the budgets of what it leads to.
func (s *state) patchConfiguration(command PatchConfiguration, check *invariant.Checker) Result {
	result := s.Configuration.patch(command)
	if result.Code != CodeDone {
		return result
	}
	document, err := config.Parse(s.Configuration.Document)
	if err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error()}
	}
	s.setBudgets(document.Budgets(), check)
	return result
}

// setBudgets gives each workspace the total that the configuration names.
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
