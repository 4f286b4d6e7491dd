package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusbay/cactusbay/internal/group"
)

// maxHistoryChanges bounds the changes in one response of the history.
const maxHistoryChanges = 256

type changeBody struct {
	Version  uint64 `json:"version"`
	PatchID  string `json:"patch_id"`
	Operator string `json:"operator,omitempty"`
	// SubmittedAt is in RFC 3339 format, or empty if it is unknown.
	SubmittedAt string          `json:"submitted_at,omitempty"`
	Patch       json.RawMessage `json:"patch"`
}

type historyBody struct {
	Version uint64 `json:"version"`
	// Oldest is the oldest version that the history still holds.
	Oldest  uint64       `json:"oldest_version"`
	Changes []changeBody `json:"changes"`
}

type diffBody struct {
	From  uint64          `json:"from"`
	To    uint64          `json:"to"`
	Patch json.RawMessage `json:"patch"`
}

// serveHistory responds with up to maxHistoryChanges changes, oldest first. They end
// at the version in the query parameter until, or at the current version.
func (s *Server) serveHistory(w http.ResponseWriter, r *http.Request) {
	version, _ := s.Group.Current()
	until, ok := queryVersion(r, "until", version.Number)
	if !ok {
		writeJSON(w, http.StatusBadRequest, problem{Code: "invalid", Message: "until must be a version number"})
		return
	}
	oldest := s.Group.OldestVersion()
	until = min(until, version.Number)
	after := oldest
	if until > oldest+maxHistoryChanges {
		after = until - maxHistoryChanges
	}
	body := historyBody{Version: version.Number, Oldest: oldest, Changes: []changeBody{}}
	if until > after {
		changes, _ := s.Group.Changes(after, int(until-after))
		for _, change := range changes {
			body.Changes = append(body.Changes, newChangeBody(change))
		}
	}
	writeJSON(w, http.StatusOK, body)
}

func newChangeBody(change group.Change) changeBody {
	body := changeBody{
		Version:  change.Number,
		PatchID:  change.PatchID,
		Operator: change.Operator,
		Patch:    change.Patch,
	}
	if change.SubmittedAt > 0 {
		body.SubmittedAt = time.UnixMilli(change.SubmittedAt).UTC().Format(time.RFC3339)
	}
	return body
}

// serveDiff responds with the JSON merge patch from one version to another. The query
// parameter to defaults to the current version, and from to the version before to.
func (s *Server) serveDiff(w http.ResponseWriter, r *http.Request) {
	version, _ := s.Group.Current()
	to, okTo := queryVersion(r, "to", version.Number)
	from, okFrom := queryVersion(r, "from", max(to, 1)-1)
	if !okTo || !okFrom {
		writeJSON(w, http.StatusBadRequest, problem{Code: "invalid", Message: "from and to must be version numbers"})
		return
	}
	patch, err := s.Group.Diff(from, to)
	if err != nil {
		s.writeVersionNotFound(w)
		return
	}
	writeJSON(w, http.StatusOK, diffBody{From: from, To: to, Patch: patch})
}

func (s *Server) writeVersionNotFound(w http.ResponseWriter) {
	writeJSON(w, http.StatusNotFound, problem{Code: "not_found", Message: "no such version is kept: see the history for the oldest one"})
}

// queryVersion returns the version number in a query parameter, fallback if the
// parameter is missing, or false if it is not a number.
func queryVersion(r *http.Request, name string, fallback uint64) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil
}
