package group

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const exchangeProcedure = "/group/exchange"

// Exchange reports a holder's counters for many workspaces and draws tokens for
// them in one call. It opens the holder's epoch if that is new.
type Exchange struct {
	Epoch         string                  `cbor:"1,keyasint"`
	Instance      string                  `cbor:"2,keyasint"`
	FailureDomain string                  `cbor:"3,keyasint"`
	Workspaces    map[string]ExchangeItem `cbor:"4,keyasint"`
	// Address is where the holder receives datagrams from other holders.
	Address string `cbor:"5,keyasint,omitempty"`
	// Planned means that a control instance has replaced each Need by the whole draw
	// before it proposed the exchange. Members then draw just that, whatever their
	// version would plan itself. Earlier versions ignore this field and do the same
	// because every item of a planned exchange has Leaving set.
	Planned bool `cbor:"6,keyasint,omitempty"`
}

// ExchangeItem is the part of an Exchange that concerns one workspace.
type ExchangeItem struct {
	Counters budget.Counters `cbor:"1,keyasint"`
	// KnownGrant is the cumulative grant in tokens that the holder has seen. A
	// resend with an outdated KnownGrant draws nothing.
	KnownGrant int64 `cbor:"2,keyasint,omitempty"`
	// Need is how many tokens waiting requests need beyond the holder's
	// available tokens; in a planned exchange it is the whole draw.
	Need int64 `cbor:"3,keyasint,omitempty"`
	// Demand is the holder's estimated spending in tokens per hour.
	Demand int64 `cbor:"4,keyasint,omitempty"`
	// Leaving means that the holder is shutting down and draws only what
	// waiting requests need.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// ExchangeResult is the result of an Exchange for one workspace, in tokens.
type ExchangeResult struct {
	// Granted is the holder's cumulative grant.
	Granted int64 `cbor:"1,keyasint,omitempty" json:"granted"`
	// Target is how many unreserved tokens the holder should have.
	Target int64 `cbor:"2,keyasint,omitempty" json:"target"`
	// Unspent is the number of unspent tokens in the pool and the open grants,
	// less those that are owed, as far as the control group knows.
	Unspent int64 `cbor:"3,keyasint,omitempty" json:"left"`
	// Reserved is the part of Unspent that is reserved for requests in
	// progress.
	Reserved int64 `cbor:"5,keyasint,omitempty" json:"reserved,omitempty"`
	// Lenders are the addresses of the other holders with the most unspent
	// tokens, those in the holder's own failure domain first.
	Lenders []string `cbor:"4,keyasint,omitempty" json:"lenders,omitempty"`
}

// exchange records the reported counters of each workspace before it draws, so
// that returned tokens can be granted again.
func (s *state) exchange(c Exchange, check *invariant.Checker) Result {
	epoch, found := s.Epochs[c.Epoch]
	if epoch.Closed {
		return Result{Code: CodeNotFound, Detail: "the epoch is closed"}
	}
	if !found {
		s.closeEarlierEpochs(c.Instance)
		s.Epochs[c.Epoch] = Epoch{Instance: c.Instance, FailureDomain: c.FailureDomain, Address: c.Address}
		s.holdersByDomain = nil
	}
	results := make(map[string]ExchangeResult, len(c.Workspaces))
	for workspace, item := range c.Workspaces {
		_, found := s.Accounts[workspace]
		if !found {
			results[workspace] = ExchangeResult{}
			continue
		}
		result, err := s.exchangeWorkspace(c.Epoch, workspace, item, c.Planned)
		if err != nil {
			_ = check.Check(false, invariant.WithinGrant, "workspace %s: %v", workspace, err)
			continue
		}
		results[workspace] = result
	}
	return Result{Code: CodeDone, ExchangeResults: results}
}

// closeEarlierEpochs closes the epochs of an instance's earlier runs and
// removes their grants. Tokens that those runs did not return to the pool count
// as spent.
func (s *state) closeEarlierEpochs(instance string) {
	for name, epoch := range s.Epochs {
		if epoch.Instance != instance || epoch.Closed {
			continue
		}
		s.endEpoch(name, (*budget.Account).Forget)
	}
}

// exchangeWorkspace applies one workspace's part of an exchange. It changes the
// account in place.
func (s *state) exchangeWorkspace(epoch, workspace string, item ExchangeItem, planned bool) (ExchangeResult, error) {
	account := s.Accounts[workspace]
	old, found := account.Grants[epoch]
	old.Closed = old.Closed || !found
	sums := s.sumsOf(workspace)
	result, err := exchangeAccount(&account, epoch, item, s.drawRequest(epoch, workspace, item), planned)
	s.Accounts[workspace] = account
	if err != nil {
		return ExchangeResult{}, err
	}
	sums.Replace(old, account.Grants[epoch])
	result.Unspent = account.RemainingOf(*sums)
	result.Reserved = sums.Reserved
	return result, nil
}

// exchangeAccount applies one workspace's part of an exchange to its account, and
// returns the grant and, unless the draw is planned, the target.
func exchangeAccount(account *budget.Account, epoch string, item ExchangeItem, request budget.DrawRequest, planned bool) (ExchangeResult, error) {
	if planned {
		granted, err := account.ExchangePlanned(epoch, item.Counters, item.KnownGrant, request)
		return ExchangeResult{Granted: granted}, err
	}
	result, err := account.Exchange(epoch, item.Counters, item.KnownGrant, request)
	return ExchangeResult{Granted: result.Granted, Target: result.Target}, err
}

// drawRequest returns the draw that an item asks for.
func (s *state) drawRequest(epoch, workspace string, item ExchangeItem) budget.DrawRequest {
	account := s.Accounts[workspace]
	return budget.DrawRequest{
		Need:            item.Need,
		UpToTarget:      !item.Leaving,
		Demand:          item.Demand,
		DelegatedDemand: s.smallHolderDemand(epoch, workspace, &account),
	}
}

// sumsOf returns the sums over the open grants of a workspace. They are kept up to
// date by exchanges, so that an exchange costs the same however many holders there
// are, and computed again after any other change of the account.
func (s *state) sumsOf(workspace string) *budget.Sums {
	sums := s.sums[workspace]
	if sums == nil {
		account := s.Accounts[workspace]
		computed := account.Sums()
		sums = &computed
		if s.sums == nil {
			s.sums = make(map[string]*budget.Sums)
		}
		s.sums[workspace] = sums
	}
	return sums
}

// serveExchange plans the draws of an exchange, commits it and adds the targets and
// the lenders to its results. The plan comes from the state of this instance, so that
// members of several versions apply the same draws. The lenders are not replicated.
func (g *Group) serveExchange(ctx context.Context, log Log, request *Exchange) (*Result, error) {
	planned, targets := g.planExchange(request)
	result, err := Propose(ctx, log, planned)
	if err != nil {
		return nil, err
	}
	for workspace, workspaceResult := range result.ExchangeResults {
		workspaceResult.Target = targets[workspace]
		workspaceResult.Lenders = g.lenders(request.Epoch, workspace)
		result.ExchangeResults[workspace] = workspaceResult
	}
	return &result, nil
}

// planExchange returns the exchange with its draws planned, and the targets by
// workspace. Workspaces that this instance does not know yet draw what their
// requests wait for.
func (g *Group) planExchange(request *Exchange) (planned Exchange, targets map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	planned = *request
	planned.Planned = true
	planned.Workspaces = make(map[string]ExchangeItem, len(request.Workspaces))
	targets = make(map[string]int64, len(request.Workspaces))
	for workspace, item := range request.Workspaces {
		account, found := g.state.Accounts[workspace]
		if found {
			draw := g.state.drawRequest(request.Epoch, workspace, item)
			item.Need, targets[workspace] = account.PlanDraw(request.Epoch, item.Counters, draw, *g.state.sumsOf(workspace))
		}
		item.Leaving = true
		planned.Workspaces[workspace] = item
	}
	return planned, targets
}

// Exchanger sends exchanges to the control group.
type Exchanger struct {
	Directory *Directory
	Client    *peer.Client
	// preferred is the address of the control instance that the next exchange
	// goes to.
	preferred string
}

// Exchange sends one exchange to a control instance and returns the results by
// workspace. After an error the next call goes to another control instance. It
// must not be called concurrently.
func (e *Exchanger) Exchange(ctx context.Context, exchange *Exchange) (map[string]ExchangeResult, error) {
	if e.preferred == "" {
		e.nextInstance()
	}
	result, err := peer.Call[Exchange, Result](ctx, e.Client, e.preferred, exchangeProcedure, exchange)
	if err != nil {
		e.nextInstance()
		return nil, peer.Unavailable("exchange with the control group", err)
	}
	if result.Code != CodeDone {
		return nil, errors.Newf("exchange: %s: %s", result.Code, result.Detail)
	}
	return result.ExchangeResults, nil
}

func (e *Exchanger) nextInstance() {
	e.preferred, _ = e.Directory.nextAfter(e.preferred)
}
