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

// attempts asks the backend servers of the newest configuration.
type attempts struct {
	group   *group.Group
	backend *backend.Client
}

// QueryAttempt implements ledger.Attempts. An attempt may have moved to another backend
// server of its work, so that all of these are asked: it is absent only when
// none of them has it.
func (a *attempts) QueryAttempt(ctx context.Context, server, attempt string) (ledger.AttemptState, int64, error) {
	version, _ := a.group.Current()
	document, err := config.Parse(version.Document)
	if err != nil {
		return "", 0, errors.Newf("parse configuration: %w", err)
	}
	if document.BackendServers[server].Kind != config.KindModel {
		return "", 0, errors.Newf("backend server %s: %w", server, backend.ErrNoAttemptReport)
	}
	state := ledger.AttemptAbsent
	var tokens int64
	for name := range sharingWork(document, server) {
		answer, err := a.backend.AttemptReport(ctx, document.BackendServers[name].Address, attempt)
		if err != nil {
			return "", 0, err
		}
		tokens += answer.Tokens()
		state = later(state, ledger.AttemptState(answer.State))
	}
	return state, tokens, nil
}

// sharingWork returns server and those that serve a work of it.
func sharingWork(document *config.Document, server string) map[string]bool {
	sharing := map[string]bool{server: true}
	for _, work := range document.Works {
		if !slices.Contains(work.BackendServers, server) {
			continue
		}
		for _, name := range work.BackendServers {
			sharing[name] = true
		}
	}
	return sharing
}

// later returns the state of an attempt that is in two states at two servers.
func later(a, b ledger.AttemptState) ledger.AttemptState {
	switch {
	case a == ledger.AttemptRunning || b == ledger.AttemptRunning:
		return ledger.AttemptRunning
	case a == ledger.AttemptDone || b == ledger.AttemptDone:
		return ledger.AttemptDone
	default:
		return ledger.AttemptAbsent
	}
}
