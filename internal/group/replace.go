package group

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
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

// Released is the newest whole document as operators sent it.
type Released struct {
	// Release is 0 before the first one.
	Release uint64
	Source  []byte
}

// Released returns the newest whole document known here.
func (g *Group) Released() Released {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Released{Release: g.state.Configuration.Release, Source: g.state.Configuration.Source}
}

// replaceConfiguration takes a whole document and the budgets that it names.
func (s *state) replaceConfiguration(command ReplaceConfiguration, check *invariant.Checker) Result {
	before := s.Configuration.Number
	result := s.Configuration.replace(command)
	if s.Configuration.Number != before {
		s.takeBudgets(command.Budgets, check)
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
	s.takeBudgets(document.Budgets(), check)
	return result
}

// takeBudgets gives each workspace the total that the configuration names.
func (s *state) takeBudgets(totals map[string]int64, check *invariant.Checker) {
	for name, total := range totals {
		account := s.account(name)
		if account.Total == total {
			continue
		}
		account.SetTotal(total)
		s.store(name, account, check, Result{})
	}
}

const exchangeProcedure = "/group/exchange"

// Exchange reports an escrow holder's counters and draws tokens for it, for
// many workspaces at once. It opens the holder's epoch when that is new.
type Exchange struct {
	Epoch         string                  `cbor:"1,keyasint"`
	Instance      string                  `cbor:"2,keyasint"`
	FailureDomain string                  `cbor:"3,keyasint"`
	Workspaces    map[string]ExchangeItem `cbor:"4,keyasint"`
}

// ExchangeItem is one workspace's part of an Exchange.
type ExchangeItem struct {
	Counters budget.Counters `cbor:"1,keyasint"`
	// Known is the cumulative grant that the holder knows of.
	Known int64 `cbor:"2,keyasint,omitempty"`
	// Need is the tokens that requests wait for, beyond those held.
	Need int64 `cbor:"3,keyasint,omitempty"`
	// Demand is the holder's estimate in tokens an hour.
	Demand int64 `cbor:"4,keyasint,omitempty"`
	// Leaving tells that the holder is about to end and holds nothing ahead.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// Share is a workspace's part of the answer to an Exchange, in tokens.
type Share struct {
	// Granted is the holder's cumulative grant.
	Granted int64 `cbor:"1,keyasint,omitempty" json:"granted"`
	// Target is what the holder should hold unspent.
	Target int64 `cbor:"2,keyasint,omitempty" json:"target"`
	// Left is unspent in the whole group, as far as it is known.
	Left int64 `cbor:"3,keyasint,omitempty" json:"left"`
}

// exchange takes the reports first, so that what they return can be drawn.
func (s *state) exchange(c Exchange, check *invariant.Checker) Result {
	epoch, found := s.Epochs[c.Epoch]
	if epoch.Closed {
		return Result{Code: CodeNotFound, Detail: "the epoch is closed"}
	}
	if !found {
		s.closeEarlier(c.Instance)
		s.Epochs[c.Epoch] = Epoch{Instance: c.Instance, FailureDomain: c.FailureDomain}
	}
	shares := make(map[string]Share, len(c.Workspaces))
	for workspace, item := range c.Workspaces {
		_, found := s.Accounts[workspace]
		if !found {
			shares[workspace] = Share{}
			continue
		}
		share, err := s.exchangeOne(c.Epoch, workspace, item, check)
		if err != nil {
			_ = check.Check(false, invariant.WithinGrant, "workspace %s: %v", workspace, err)
			continue
		}
		shares[workspace] = share
	}
	return Result{Code: CodeDone, Shares: shares}
}

// closeEarlier closes the epochs of an instance's earlier starts, which have
// ended. What they had not reported stays spent.
func (s *state) closeEarlier(instance string) {
	for name, epoch := range s.Epochs {
		if epoch.Instance == instance && !epoch.Closed {
			s.closeEpoch(CloseEpoch{Epoch: name})
		}
	}
}

func (s *state) exchangeOne(epoch, workspace string, item ExchangeItem, check *invariant.Checker) (Share, error) {
	account := s.account(workspace)
	err := account.Report(epoch, item.Counters)
	if err != nil {
		return Share{}, err
	}
	granted, target := account.DrawWithin(epoch, item.Known, budget.Ask{Need: item.Need, Ahead: !item.Leaving, Demand: item.Demand})
	s.store(workspace, account, check, Result{})
	return Share{Granted: granted, Target: target, Left: account.Left()}, nil
}

func serveExchange(ctx context.Context, log Log, request *Exchange) (*Result, error) {
	result, err := Propose(ctx, log, *request)
	if err != nil {
		return nil, err
	}
	return &result, nil
}

// Exchanger makes exchanges with the control group.
type Exchanger struct {
	Directory *Directory
	Client    *peer.Client
	// preferred is the address that answered last.
	preferred string
}

// Exchange sends one exchange to a control instance; after an error the next
// call goes to another one. It is used by one goroutine.
func (e *Exchanger) Exchange(ctx context.Context, exchange *Exchange) (map[string]Share, error) {
	if e.preferred == "" {
		e.turn()
	}
	result, err := peer.Call[Exchange, Result](ctx, e.Client, e.preferred, exchangeProcedure, exchange)
	if err != nil {
		e.turn()
		return nil, peer.Unavailable("exchange with the control group", err)
	}
	if result.Code != CodeDone {
		return nil, errors.Newf("exchange: %s: %s", result.Code, result.Detail)
	}
	return result.Shares, nil
}

func (e *Exchanger) turn() {
	e.preferred, _ = e.Directory.after(e.preferred)
}
