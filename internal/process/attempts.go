package process

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/ledger"
)

// attemptClient queries attempts at the backend servers of the newest
// configuration.
type attemptClient struct {
	group   *group.Group
	backend *backend.Client
}

// QueryAttempt implements ledger.AttemptQuerier. An attempt may have moved to
// another backend server of its work, so QueryAttempt queries every server that
// shares a work with the given one. It returns the combined state and the sum of
// the tokens; the attempt is absent only if no server knows it.
func (a *attemptClient) QueryAttempt(ctx context.Context, server, attempt string) (ledger.AttemptState, int64, error) {
	document, err := a.group.Document()
	if err != nil {
		return "", 0, errors.Newf("read configuration: %w", err)
	}
	if document.BackendServers[server].Kind != config.KindModel {
		return "", 0, errors.Newf("query attempt at backend server %s: %w", server, backend.ErrNoAttemptReport)
	}
	state := ledger.AttemptAbsent
	var tokens int64
	for name := range serversOfSameWorks(document, server) {
		report, err := a.backend.QueryAttempt(ctx, document.BackendServers[name].Address, attempt)
		if err != nil {
			return "", 0, err
		}
		tokens += report.Tokens()
		state = combineStates(state, ledger.AttemptState(report.State))
	}
	return state, tokens, nil
}

// serversOfSameWorks returns the names of server and of all backend servers
// that serve a work in common with it.
func serversOfSameWorks(document *config.Document, server string) map[string]bool {
	servers := map[string]bool{server: true}
	for _, work := range document.Works {
		if !slices.Contains(work.BackendServers, server) {
			continue
		}
		for _, name := range work.BackendServers {
			servers[name] = true
		}
	}
	return servers
}

// combineStates returns the state of an attempt that two servers report
// differently: running takes precedence over done, and done over absent.
func combineStates(a, b ledger.AttemptState) ledger.AttemptState {
	switch {
	case a == ledger.AttemptRunning || b == ledger.AttemptRunning:
		return ledger.AttemptRunning
	case a == ledger.AttemptDone || b == ledger.AttemptDone:
		return ledger.AttemptDone
	default:
		return ledger.AttemptAbsent
	}
}
