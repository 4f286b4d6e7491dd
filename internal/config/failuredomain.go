package config

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/check"
)

// failureDomainsKey is the encoded key of Document.FailureDomains.
const failureDomainsKey = `"failure_domains":`

// FailureDomain is what operators have ordered for a failure domain.
type FailureDomain struct {
	// Evacuated means that no request is sent to the backend servers of the failure
	// domain.
	Evacuated bool `json:"evacuated,omitempty"`
}

// EvacuatedDomains returns the names of the evacuated failure domains, each mapped to true.
func (d *Document) EvacuatedDomains() map[string]bool {
	evacuated := make(map[string]bool)
	for name, domain := range d.FailureDomains {
		if domain.Evacuated {
			evacuated[name] = true
		}
	}
	return evacuated
}

// IsFailureDomainName reports whether a document may name a failure domain so.
func IsFailureDomainName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

func (d *Document) validateFailureDomains(faults *check.Faults, order nameOrder) {
	for _, name := range namesOf(d.FailureDomains, order) {
		if !IsFailureDomainName(name) {
			faults.Add("failure_domains."+name, "has a name that is not 1 to 128 bytes long")
		}
	}
}

// FailureDomains returns the failure domains of the document. The caller must not change
// them. It decodes nothing else of a document that has not been parsed.
func (e Encoded) FailureDomains() (map[string]FailureDomain, error) {
	if e.Document != nil {
		return e.Document.FailureDomains, nil
	}
	return decodeFailureDomains(e.JSON)
}

// decodeFailureDomains decodes the last field of an encoded document, if that is the failure
// domains. The key of another, nested object is followed by more closing braces than the
// document's own, so that no valid object begins there.
func decodeFailureDomains(document []byte) (map[string]FailureDomain, error) {
	key := []byte(failureDomainsKey)
	for at := bytes.LastIndex(document, key); at >= 0; at = bytes.LastIndex(document[:at], key) {
		object := append([]byte("{"), document[at:]...)
		if !json.Valid(object) {
			continue
		}
		var section struct {
			FailureDomains map[string]FailureDomain `json:"failure_domains"`
		}
		err := json.Unmarshal(object, &section)
		if err != nil {
			return nil, errors.Newf("read failure domains: %w", err)
		}
		return section.FailureDomains, nil
	}
	return nil, nil
}

// WithFailureDomains returns the document with other failure domains, whose names must be
// valid. The result is the same as that of a merge patch, but the rest of the document is
// neither decoded nor encoded: a document can have thousands of entries, and a control
// instance a fraction of a core.
func (e Encoded) WithFailureDomains(domains map[string]FailureDomain) (Encoded, error) {
	before, err := e.FailureDomains()
	if err != nil {
		return Encoded{}, err
	}
	if len(before) == 0 && len(domains) == 0 {
		return e, nil
	}
	if len(domains) == 0 {
		domains = nil
	}
	data, err := replaceFailureDomains(e.JSON, before, domains)
	if err != nil {
		return Encoded{}, err
	}
	result := Encoded{JSON: data}
	if e.Document != nil {
		document := *e.Document
		document.FailureDomains = domains
		result.Document = &document
	}
	return result, nil
}

// replaceFailureDomains replaces the failure domains in an encoded document. They are its
// last field, so that their encoding is at the end.
func replaceFailureDomains(document []byte, before, after map[string]FailureDomain) ([]byte, error) {
	oldSection, err := encodeFailureDomains(before)
	if err != nil {
		return nil, err
	}
	newSection, err := encodeFailureDomains(after)
	if err != nil {
		return nil, err
	}
	rest, found := bytes.CutSuffix(document, append(oldSection, '}'))
	if !found {
		return nil, errors.New("the failure domains are not the last field of the encoded configuration")
	}
	rest = bytes.TrimSuffix(rest, []byte(","))
	result := make([]byte, 0, len(rest)+len(newSection)+2)
	result = append(result, rest...)
	if len(rest) > 1 && len(newSection) > 0 {
		result = append(result, ',')
	}
	result = append(result, newSection...)
	return append(result, '}'), nil
}

// encodeFailureDomains returns the field of an encoded document; none encode to nothing.
func encodeFailureDomains(domains map[string]FailureDomain) ([]byte, error) {
	if len(domains) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(domains)
	if err != nil {
		return nil, errors.Newf("encode failure domains: %w", err)
	}
	return append([]byte(failureDomainsKey), data...), nil
}
