// Package operator serves the operators' HTTP API at a control instance: the
// configuration, budgets and the members of the control group.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/quorum"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 4 << 20
	bearerPrefix = "Bearer "
)

// Key identifies an operator by the hash of a secret key.
type Key struct {
	// Name is the operator's name, which the history of the configuration records.
	Name string
	// Hash is the result of config.HashKey for the secret key.
	Hash string
}

// Server serves the operators' API. Its fields must be set before Handler is called
// and not change afterwards.
type Server struct {
	// Instance is the id of this control instance.
	Instance string
	// Keys are the operators that may call the API.
	Keys []Key
	// Group is the replicated state that this instance has applied.
	Group *group.Group
	// Log is the replicated log, to which operators' commands are proposed.
	Log group.Log
	// Quorum is this instance's member of the replicated log.
	Quorum *quorum.Node
	// Ledger is the ledger of this instance's failure domain.
	Ledger *ledger.Ledger
	// Logger is the logger of the process.
	Logger *log.Logger
}

// problem is the body of an error response.
type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Version uint64 `json:"version,omitempty"`
}

// The names of the request bodies' types are part of responses: errors of
// encoding/json contain them and are sent to operators.

// patchBody is a JSON merge patch against the configuration version Against.
type patchBody struct {
	ID      string          `json:"id"`
	Against *uint64         `json:"against"`
	Patch   json.RawMessage `json:"patch"`
}

type depositBody struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
	// FailureDomain selects the ledger that accepts the deposit; if it is empty,
	// the control group does.
	FailureDomain string `json:"failure_domain"`
}

// releaseBody returns the tokens of a closed ledger epoch that are in doubt to the
// workspace's pool.
type releaseBody struct {
	ID        string `json:"id"`
	Epoch     string `json:"epoch"`
	Workspace string `json:"workspace"`
}

type closeEpochBody struct {
	Epoch string `json:"epoch"`
}

type versionBody struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"configuration"`
}

// budgetBody is the state of a workspace's budget in tokens. InDoubt counts the
// tokens that closed epochs held and did not report as billed; Grants are by epoch.
type budgetBody struct {
	Workspace string                  `json:"workspace"`
	Deposited int64                   `json:"deposited"`
	Pool      int64                   `json:"pool"`
	Billed    int64                   `json:"billed"`
	InDoubt   int64                   `json:"in_doubt"`
	Grants    map[string]budget.Grant `json:"grants,omitempty"`
}

type statusBody struct {
	Instance string `json:"instance"`
	// Linearizable is false if no majority confirmed the state of this instance,
	// which may then be out of date.
	Linearizable bool `json:"linearizable"`

	Member  quorum.Status `json:"member"`
	Version uint64        `json:"configuration_version"`
	// Ledger is the epoch of this instance's ledger, and Epochs are all epochs of
	// ledgers and entries, by name.
	Ledger string                 `json:"ledger_epoch"`
	Epochs map[string]group.Epoch `json:"ledger_epochs"`
	// Instances are those that sent heartbeats to this control instance.
	Instances []group.Instance `json:"instances"`
}

// operatorContextKey is the key of the operator's name in a request's context.
type operatorContextKey struct{}

func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// Handler returns the handler of the operators' HTTP API. Every path requires an
// operator's key as a bearer token.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Get("/v1/status", s.serveStatus)
		r.With(s.requireLinearizable).Get("/v1/configuration", s.serveConfiguration)
		r.Patch("/v1/configuration", s.servePatch)
		r.With(s.requireLinearizable).Get("/v1/configuration/history", s.serveHistory)
		r.With(s.requireLinearizable).Get("/v1/configuration/diff", s.serveDiff)
		r.With(s.requireLinearizable).Get("/v1/workspaces/{workspace}/budget", s.serveBudget)
		r.Get("/v1/control_members", s.serveMembers)
		r.Post("/v1/control_members", s.serveAddMember)
		r.Delete("/v1/control_members/{id}", s.serveRemoveMember)
		r.Post("/v1/deposits", s.serveDeposit)
		r.Post("/v1/releases", s.serveRelease)
		r.Post("/v1/closed_epochs", s.serveCloseEpoch)
	})
	return router
}

// authenticate is a middleware that rejects requests without a known key and stores
// the operator's name in the context.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		name := ""
		if found {
			name = s.operatorForKey(key)
		}
		if name == "" {
			writeJSON(w, http.StatusUnauthorized, problem{Code: "unauthorized", Message: "the operator's key is missing or unknown"})
			return
		}
		ctx := context.WithValue(r.Context(), operatorContextKey{}, name)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// operatorForKey returns the name of the operator with the given key, or an empty
// string. It compares with all keys in constant time, so that the response time
// shows nothing about them.
func (s *Server) operatorForKey(key string) string {
	hash := []byte(config.HashKey(key))
	name := ""
	for _, candidate := range s.Keys {
		if subtle.ConstantTimeCompare(hash, []byte(candidate.Hash)) == 1 {
			name = candidate.Name
		}
	}
	return name
}

// serveStatus also responds without a majority, so that operators can examine an
// isolated control instance.
func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	confirmed := s.isConfirmed(r)
	version, _ := s.Group.Current()
	writeJSON(w, http.StatusOK, statusBody{
		Instance: s.Instance,

		Linearizable: confirmed,

		Member:  s.Quorum.Status(),
		Version: version.Number,
		Ledger:  s.Ledger.Epoch(),
		Epochs:  s.Group.Epochs(),

		Instances: s.Group.Instances(),
	})
}

func (s *Server) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	version, _ := s.Group.Current()
	text := r.URL.Query().Get("version")
	if text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err == nil {
			version, err = s.Group.Version(number)
		}
		if err != nil {
			s.writeVersionNotFound(w)
			return
		}
	}
	writeJSON(w, http.StatusOK, versionBody{Version: version.Number, Document: version.Document})
}

func (s *Server) servePatch(w http.ResponseWriter, r *http.Request) {
	var body patchBody
	if !readJSON(w, r, &body) {
		return
	}
	if body.ID == "" || body.Against == nil || len(body.Patch) == 0 {
		writeJSON(w, http.StatusBadRequest, problem{Code: "invalid", Message: "id, against and patch are required"})
		return
	}
	s.propose(w, r, group.PatchConfiguration{
		ID:       body.ID,
		Against:  *body.Against,
		Patch:    body.Patch,
		Operator: operatorName(r.Context()),

		SubmittedAt: time.Now().UnixMilli(),
	})
}

func (s *Server) serveBudget(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "workspace")
	account, found := s.Group.Account(name)
	if !found {
		writeJSON(w, http.StatusNotFound, problem{Code: "not_found", Message: "the workspace has no deposits"})
		return
	}
	writeJSON(w, http.StatusOK, budgetBody{
		Workspace: name,
		Deposited: account.Deposited,
		Pool:      account.Pool,
		Billed:    account.Billed(),
		InDoubt:   account.InDoubt(),
		Grants:    account.Grants,
	})
}

func (s *Server) serveDeposit(w http.ResponseWriter, r *http.Request) {
	var body depositBody
	if !readJSON(w, r, &body) {
		return
	}
	if body.ID == "" || body.Workspace == "" {
		writeJSON(w, http.StatusBadRequest, problem{Code: "invalid", Message: "id and workspace are required"})
		return
	}
	if body.FailureDomain != "" {
		s.depositInLedger(w, r, body)
		return
	}
	s.propose(w, r, group.Deposit{ID: body.ID, Workspace: body.Workspace, Tokens: body.Tokens})
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var body releaseBody
	if !readJSON(w, r, &body) {
		return
	}
	if body.ID == "" || body.Workspace == "" || body.Epoch == "" {
		writeJSON(w, http.StatusBadRequest, problem{Code: "invalid", Message: "id, epoch and workspace are required"})
		return
	}
	s.propose(w, r, group.ReleaseInDoubt{ID: body.ID, Epoch: body.Epoch, Workspace: body.Workspace})
}

// serveCloseEpoch closes a ledger epoch whose journal is lost. Only an operator can
// decide that, because the control group cannot distinguish a lost ledger from an
// unreachable one.
func (s *Server) serveCloseEpoch(w http.ResponseWriter, r *http.Request) {
	var body closeEpochBody
	if !readJSON(w, r, &body) {
		return
	}
	if body.Epoch == "" {
		writeJSON(w, http.StatusBadRequest, problem{Code: "invalid", Message: "epoch is required"})
		return
	}
	s.propose(w, r, group.CloseEpoch{Epoch: body.Epoch})
}

// propose commits command through the replicated log and writes its result as the
// response.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, command group.Command) {
	result, err := group.Propose(r.Context(), s.Log, command)
	if err != nil {
		s.Logger.Warn("cannot confirm an operator's command; send it again with the same id", "err", err.Error())
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, problem{Code: "unavailable", Message: "the control group did not answer: send the same id again"})
		return
	}
	status := httpStatus(result.Code)
	if status != http.StatusOK {
		writeJSON(w, status, problem{Code: string(result.Code), Message: result.Detail, Version: result.Version})
		return
	}
	writeJSON(w, status, result)
}

func httpStatus(code group.Code) int {
	switch code {
	case group.CodeDone:
		return http.StatusOK
	case group.CodeConflict, group.CodeHeld:
		return http.StatusConflict
	case group.CodeNotFound:
		return http.StatusNotFound
	default:
		return http.StatusUnprocessableEntity
	}
}

// readJSON decodes the body of a request into target. For an invalid body it writes
// the response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problem{Code: "invalid", Message: "the body is not valid: " + err.Error()})
		return false
	}
	return true
}

// writeJSON writes a response with body encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"code":"internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
