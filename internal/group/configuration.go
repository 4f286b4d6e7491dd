package group

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
)

const (
	// A history segment ends at segmentChanges patches or at segmentBytes of
	// patches.
	segmentChanges = 512
	segmentBytes   = 1 << 20
	// maxSegments bounds the history. Each segment holds a whole document.
	maxSegments = 8
	// maxPatchResults bounds the stored results of patches.
	maxPatchResults = 16_384
	// maxPatchIDBytes bounds the length of a patch ID.
	maxPatchIDBytes = 256
)

// ErrNoVersion reports a configuration version that does not exist or that the
// history no longer holds.
var ErrNoVersion = errors.New("no such configuration version is kept")

// Version is one accepted version of the configuration; Document is its JSON.
type Version struct {
	Number   uint64
	Document []byte
}

// Change is one accepted patch of the configuration.
type Change struct {
	// Number is the version that the patch created.
	Number   uint64 `cbor:"1,keyasint"`
	Patch    []byte `cbor:"2,keyasint"`
	PatchID  string `cbor:"3,keyasint"`
	Operator string `cbor:"4,keyasint,omitempty"`
	// SubmittedAt is when a control instance received the patch, in
	// milliseconds since 1970.
	SubmittedAt int64 `cbor:"5,keyasint,omitempty"`
}

// segment is a whole document and the patches that follow it.
type segment struct {
	// Number is the version of Document.
	Number   uint64   `cbor:"1,keyasint"`
	Document []byte   `cbor:"2,keyasint"`
	Changes  []Change `cbor:"3,keyasint,omitempty"`
	Bytes    int      `cbor:"4,keyasint,omitempty"`
}

// configuration holds the current version, a bounded history and a bounded
// number of patch results. Its fields are exported so that the snapshot encoder
// writes them.
type configuration struct {
	Number   uint64 `cbor:"1,keyasint,omitempty"`
	Document []byte `cbor:"2,keyasint,omitempty"`
	// History holds the most recent segments, oldest first.
	History []segment `cbor:"3,keyasint,omitempty"`
	// PatchResults are the stored results by patch ID, and PatchIDs lists those
	// IDs, oldest first.
	PatchResults map[string]patchResult `cbor:"4,keyasint,omitempty"`
	PatchIDs     []string               `cbor:"5,keyasint,omitempty"`
	// Release is the release number of the newest whole document, and Source is
	// the text that operators sent.
	Release uint64 `cbor:"6,keyasint,omitempty"`
	Source  []byte `cbor:"7,keyasint,omitempty"`

	// parsed is Document once it was parsed, or nil.
	parsed *config.Document
}

// document returns the newest version in parsed form.
func (c *configuration) document() (*config.Document, error) {
	if c.parsed != nil {
		return c.parsed, nil
	}
	parsed, err := config.Parse(c.current().Document)
	if err != nil {
		return nil, errors.Newf("parse version %d: %w", c.Number, err)
	}
	c.parsed = parsed
	return parsed, nil
}

// patchResult is the first result of a patch ID.
type patchResult struct {
	BodyHash []byte `cbor:"1,keyasint"`
	Result   Result `cbor:"2,keyasint"`
}

// current returns the newest version. Before the first patch that is version 0
// with an empty document.
func (c *configuration) current() Version {
	if c.Number == 0 {
		return Version{Document: []byte("{}")}
	}
	return Version{Number: c.Number, Document: c.Document}
}

// patch applies a whole patch or none of it. Every resend of an ID gets the
// first result, even a conflict, so a patch that is redone against a newer
// version needs a new ID.
func (c *configuration) patch(command PatchConfiguration) Result {
	if command.ID == "" || len(command.ID) > maxPatchIDBytes {
		return Result{Code: CodeInvalid, Detail: "a patch needs an id of 1 to 256 bytes", Version: c.Number}
	}
	hash := command.bodyHash()
	previous, found := c.PatchResults[command.ID]
	if found && string(previous.BodyHash) != string(hash) {
		return Result{Code: CodeIDReused, Detail: "the id was used for another patch: choose a new one", Version: c.Number}
	}
	if found {
		return previous.Result
	}
	result := c.patchOnce(command)
	c.recordPatchResult(command.ID, patchResult{BodyHash: hash, Result: result})
	return result
}

// patchOnce applies a patch whose ID has no stored result.
func (c *configuration) patchOnce(command PatchConfiguration) Result {
	current := c.current()
	if command.Against != current.Number {
		return Result{Code: CodeConflict, Detail: "the configuration has changed: read it and make the patch again", Version: current.Number}
	}
	base := config.Encoded{Document: c.parsed, JSON: current.Document}
	patched, err := base.Apply([][]byte{command.Patch})
	if err != nil {
		return Result{Code: CodeInvalid, Detail: err.Error(), Version: current.Number}
	}
	c.append(current, Change{
		Number:      current.Number + 1,
		Patch:       command.Patch,
		PatchID:     command.ID,
		Operator:    command.Operator,
		SubmittedAt: command.SubmittedAt,
	})
	c.Number = current.Number + 1
	c.Document = patched.JSON
	c.parsed = patched.Document
	return Result{Code: CodeDone, Version: c.Number}
}

// append adds change to the history. base is the version that change was made
// against.
func (c *configuration) append(base Version, change Change) {
	last := len(c.History) - 1
	if last < 0 || len(c.History[last].Changes) >= segmentChanges || c.History[last].Bytes >= segmentBytes {
		c.startSegment(segment{Number: base.Number, Document: base.Document})
		last = len(c.History) - 1
	}
	c.History[last].Changes = append(c.History[last].Changes, change)
	c.History[last].Bytes += len(change.Patch)
}

// startSegment appends a segment to the history and drops the oldest one above
// the bound.
func (c *configuration) startSegment(s segment) {
	c.History = append(c.History, s)
	if len(c.History) > maxSegments {
		c.History = append([]segment(nil), c.History[1:]...)
	}
}

// recordPatchResult stores the result of a patch and drops the oldest one above
// the bound. A patch whose result was dropped cannot be applied twice, because
// its base version is outdated by then.
func (c *configuration) recordPatchResult(id string, result patchResult) {
	if c.PatchResults == nil {
		c.PatchResults = make(map[string]patchResult)
	}
	c.PatchResults[id] = result
	c.PatchIDs = append(c.PatchIDs, id)
	if len(c.PatchIDs) > maxPatchResults {
		delete(c.PatchResults, c.PatchIDs[0])
		c.PatchIDs = c.PatchIDs[1:]
	}
}

// version rebuilds a version that the history holds.
func (c *configuration) version(number uint64) (Version, error) {
	current := c.current()
	if number == current.Number {
		return current, nil
	}
	for i := len(c.History) - 1; i >= 0; i-- {
		start := c.History[i]
		if number < start.Number {
			continue
		}
		steps := number - start.Number
		if steps > uint64(len(start.Changes)) {
			break
		}
		document, err := config.MergeAll(start.Document, patchesOf(start.Changes[:steps]))
		if err != nil {
			return Version{}, errors.Newf("rebuild version %d: %w", number, err)
		}
		return Version{Number: number, Document: document}, nil
	}
	return Version{}, errors.Newf("version %d: %w", number, ErrNoVersion)
}

// changes returns up to limit of the changes that created the versions above
// after, oldest first. complete is false if the history lacks some of them.
func (c *configuration) changes(after uint64, limit int) (list []Change, complete bool) {
	if after >= c.Number {
		return nil, after == c.Number
	}
	if len(c.History) == 0 || after < c.History[0].Number {
		return nil, false
	}
	for _, s := range c.History {
		for _, change := range s.Changes {
			if change.Number > after && len(list) < limit {
				list = append(list, change)
			}
		}
	}
	return list, true
}

func patchesOf(changes []Change) [][]byte {
	patches := make([][]byte, 0, len(changes))
	for _, change := range changes {
		patches = append(patches, change.Patch)
	}
	return patches
}

// bodyHash returns a hash that distinguishes different patches with the same ID.
// It leaves out SubmittedAt, which a resend changes.
func (p PatchConfiguration) bodyHash() []byte {
	p.SubmittedAt = 0
	data, err := encodeCommand(p)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// Version returns one version of the configuration that the history holds, or
// an error that wraps ErrNoVersion.
func (g *Group) Version(number uint64) (Version, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Configuration.version(number)
}

// Changes returns up to limit of the changes that created the versions above
// after, oldest first, or false if the history lacks some of them.
func (g *Group) Changes(after uint64, limit int) ([]Change, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Configuration.changes(after, limit)
}

// Document returns the newest version in parsed form. The caller must not change it.
func (g *Group) Document() (*config.Document, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Configuration.document()
}

// OldestVersion returns the number of the oldest version that the history
// holds.
func (g *Group) OldestVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	history := g.state.Configuration.History
	if len(history) == 0 {
		return g.state.Configuration.Number
	}
	return history[0].Number
}

// Diff returns the JSON merge patch from one version to another, or an error
// that wraps ErrNoVersion if the history lacks one of them.
func (g *Group) Diff(from, to uint64) (json.RawMessage, error) {
	before, err := g.Version(from)
	if err != nil {
		return nil, err
	}
	after, err := g.Version(to)
	if err != nil {
		return nil, err
	}
	return config.Diff(before.Document, after.Document)
}
