package test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/process"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 0, "first seed of a long run; 0 runs the fixed seeds")
	soakMinutes = flag.Float64("soak.minutes", 1, "minutes of real time that a long run takes")
)

// soakSeeds are the seeds of a test run without -soak.seed, one round each.
var soakSeeds = []uint64{1, 2, 3, 4, 5, 6}

const (
	soakClients    = 6
	soakRequests   = 15
	soakAttempts   = 6
	soakSettleTime = 10 * time.Minute
	// soakMaxReservation is more tokens than any request reserves. A refusal with
	// insufficient_budget while more tokens are available counts as a false refusal.
	soakMaxReservation = 300
)

// soakReport is the JSON line that a run prints at its end. It sums up all rounds.
type soakReport struct {
	Seed             uint64 `json:"seed"`
	Rounds           int    `json:"rounds"`
	Requests         int    `json:"requests"`
	Responses        int    `json:"answers"`
	Overspend        int64  `json:"overspend"`
	DoubleBilled     int    `json:"double_billed"`
	LostBills        int    `json:"lost_bills"`
	FalseNotRun      int    `json:"false_not_run"`
	RepeatedRuns     int    `json:"repeated_runs"`
	CrossedResponses int    `json:"crossed_answers"`
	FalseRefusals    int    `json:"false_refusals"`
	Refusals         int    `json:"refusals"`
	InDoubtTokens    int64  `json:"in_doubt_tokens"`
}

// violations returns the number of broken guarantees, with each overspent token
// counted as one. False refusals and tokens in doubt are not violations.
func (r *soakReport) violations() int64 {
	return r.Overspend + int64(r.DoubleBilled+r.LostBills+r.FalseNotRun+r.RepeatedRuns+r.CrossedResponses)
}

// TestSoak guards against overspending, double or lost bills, repeated runs, false
// not_run claims and mixed-up responses under random faults. Each round runs
// clients, operators and faults with a seed of its own and then checks these
// guarantees.
func TestSoak(t *testing.T) {
	report := &soakReport{}
	if *soakSeed == 0 {
		for _, seed := range soakSeeds {
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soakRound(t, seed, report) })
		}
	} else {
		report.Seed = *soakSeed
		end := time.Now().Add(time.Duration(*soakMinutes * float64(time.Minute)))
		for seed := *soakSeed; time.Now().Before(end) && !t.Failed(); seed++ {
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soakRound(t, seed, report) })
		}
	}
	line, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(os.Stdout, string(line))
}

// soak is one round of TestSoak.
type soak struct {
	*site
	t         *testing.T
	seed      uint64
	deposited int64

	mu     sync.Mutex
	report *soakReport
	events []string
	// complete holds the keys of requests whose caller got a complete response.
	complete map[string]bool
	// nonRepeatable holds the nonces of requests that must run at most once.
	nonRepeatable map[string]bool
	start         time.Time
}

// soakRound runs one round and adds its results to report. The faults end with the
// clients; the site then has soakSettleTime to settle all reservations.
func soakRound(t *testing.T, seed uint64, report *soakReport) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		deposited := 5_000 + random.Int64N(60_000)
		s := &soak{
			site:          newSite(t, deposited, "a", "b", "c"),
			t:             t,
			seed:          seed,
			deposited:     deposited,
			report:        report,
			complete:      make(map[string]bool),
			nonRepeatable: make(map[string]bool),
			start:         time.Now(),
		}
		defer s.close()
		before := report.violations()
		var clients sync.WaitGroup
		for i := range soakClients {
			clients.Go(func() { s.runClient(i) })
		}
		stop := make(chan struct{})
		faults := make(chan struct{})
		go func() {
			defer close(faults)
			s.injectFaults(random, stop)
		}()
		operators := make(chan struct{})
		go func() {
			defer close(operators)
			s.runOperators(rand.New(rand.NewPCG(seed, 2)), stop)
		}()
		clients.Wait()
		close(stop)
		<-faults
		<-operators
		time.Sleep(soakSettleTime)
		s.checkBills()
		report.Rounds++
		if report.violations() != before || t.Failed() {
			t.Errorf("seed %d: %+v\n%s", seed, *report, strings.Join(s.events, "\n"))
		}
	})
}

// logEvent adds an event with the time since the start of the round. A failed round
// prints its events.
func (s *soak) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.start).Round(time.Millisecond)
	s.events = append(s.events, at.String()+" "+fmt.Sprintf(format, args...))
}

// injectFaults injects random faults one after another, each for up to 20 seconds,
// until stop is closed. It heals each fault, so that the site has none when it
// returns.
func (s *soak) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	for {
		domain := s.domains[random.IntN(len(s.domains))]
		heal := s.startFault(random, domain)
		select {
		case <-time.After(time.Duration(random.IntN(20_000)) * time.Millisecond):
			heal()
		case <-stop:
			heal()
			return
		}
		select {
		case <-time.After(time.Duration(random.IntN(5_000)) * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// startFault injects a random fault into a failure domain and returns the function
// that heals it.
func (s *soak) startFault(random *rand.Rand, domain string) func() {
	unsyncedBytes := random.IntN(64)
	switch random.IntN(5) {
	case 0:
		s.logEvent("cut %s", domain)
		s.cutDomain(domain)
		return func() { s.logEvent("heal %s", domain); s.healDomain(domain) }
	case 1:
		s.logEvent("kill entry %s", domain)
		s.killEntry(domain)
		return func() { s.logEvent("start entry %s", domain); s.startEntry(domain) }
	case 2:
		s.logEvent("kill control %s", domain)
		s.killControl(domain, unsyncedBytes)
		return func() { s.logEvent("start control %s", domain); s.startControl(domain) }
	case 3:
		s.logEvent("one-way cut from control %s", domain)
		return s.cutOutgoing(domain)
	default:
		s.logEvent("cut %s and kill its control", domain)
		s.cutDomain(domain)
		s.killControl(domain, unsyncedBytes)
		return func() {
			s.logEvent("start control %s and heal", domain)
			s.startControl(domain)
			s.healDomain(domain)
		}
	}
}

// cutOutgoing drops what a control instance sends to the other control instances,
// while it still receives from them. It returns the function that heals the links.
func (s *soak) cutOutgoing(domain string) func() {
	for _, other := range s.domains {
		if other != domain {
			s.network.Cut("control-"+domain, "control-"+other)
		}
	}
	return func() {
		s.logEvent("heal one-way %s", domain)
		for _, other := range s.domains {
			if other != domain {
				s.network.Heal("control-"+domain, "control-"+other)
			}
		}
	}
}

// runOperators makes deposits and races patches against one configuration version
// until stop is closed, also during faults. It repeats each command until the
// control group confirms the result.
func (s *soak) runOperators(random *rand.Rand, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-time.After(time.Duration(random.IntN(8_000)) * time.Millisecond):
		case <-stop:
			return
		}
		deposited := 100 + random.Int64N(5_000)
		deposit := group.Deposit{ID: fmt.Sprintf("top-up-%d", i), Workspace: siteWorkspace, Tokens: deposited}
		s.proposeUntilConfirmed(random, deposit)
		s.mu.Lock()
		s.deposited += deposited
		s.mu.Unlock()
		s.racePatches(random, i)
	}
}

// racePatches proposes two patches against the version that a random control
// instance has, and checks that at most one is accepted.
func (s *soak) racePatches(random *rand.Rand, round int) {
	current, _ := s.control(s.domains[random.IntN(len(s.domains))]).Group.Current()
	wins := 0
	for i := range 2 {
		result := s.proposeUntilConfirmed(random, group.PatchConfiguration{
			ID:      fmt.Sprintf("patch-%d-%d", round, i),
			Against: current.Number,
			Patch:   fmt.Appendf(nil, `{"limits":{"body_bytes":%d}}`, 100_000+2*round+i),
		})
		if result.Code == group.CodeDone {
			wins++
		}
	}
	if wins > 1 {
		s.t.Errorf("%d patches against version %d were accepted, want at most 1", wins, current.Number)
	}
}

// proposeUntilConfirmed proposes a command at random control instances until one
// confirms its result.
func (s *soak) proposeUntilConfirmed(random *rand.Rand, command group.Command) group.Result {
	for {
		control := s.control(s.domains[random.IntN(len(s.domains))])
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		result, err := group.Propose(ctx, control.Quorum, command)
		cancel()
		if err == nil {
			return result
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// control returns the control instance of a failure domain: the running one or, while
// none runs, the last one.
func (s *soak) control(domain string) *process.Control {
	s.processesMu.Lock()
	defer s.processesMu.Unlock()
	return s.controls[domain]
}

// runClient sends requests one after another. It sends each request to entries of
// random failure domains until one is served, at most soakAttempts times.
func (s *soak) runClient(client int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(client)+100))
	for i := range soakRequests {
		key := fmt.Sprintf("key-%d-%d", client, i)
		nonce := fmt.Sprintf("nonce-%d-%d-end", client, i)
		kind := random.IntN(3)
		tokens := 2 + random.IntN(30)
		for range soakAttempts {
			domain := s.domains[random.IntN(len(s.domains))]
			got := s.sendAndCheck(domain, kind, key, nonce, tokens)
			if got.status == http.StatusOK && got.err == nil {
				s.resend(random, kind, key, nonce, tokens)
				break
			}
			time.Sleep(time.Duration(200+random.IntN(4_000)) * time.Millisecond)
		}
	}
}

// resend repeats about a third of the served requests, each at an entry of a random
// failure domain, like a client that lost the response.
func (s *soak) resend(random *rand.Rand, kind int, key, nonce string, tokens int) {
	if random.IntN(3) > 0 {
		return
	}
	domain := s.domains[random.IntN(len(s.domains))]
	s.sendAndCheck(domain, kind, key, nonce, tokens)
}

// sendAndCheck sends a request and checks its response. Kind 0 is a completion,
// kind 1 a service call that may repeat and kind 2 one that must run at most once.
func (s *soak) sendAndCheck(domain string, kind int, key, nonce string, tokens int) callResponse {
	runsBefore := s.runCounts.count(nonce)
	var got callResponse
	want := nonce
	switch kind {
	case 0:
		body := fmt.Sprintf(`{"model":"demo","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, nonce, tokens)
		got = s.send(domain, "/v1/chat/completions", key, body)
		want = fmt.Sprintf("t%d ", tokens-1)
	case 1:
		got = s.send(domain, "/services/records/look", key, nonce)
	default:
		got = s.send(domain, "/services/orders/new", key, nonce)
	}
	s.checkResponse(got, key, nonce, want, kind == 2, runsBefore)
	s.logEvent("%s kind %d at %s: %d %s %v", key, kind, domain, got.status, got.code(), got.err)
	return got
}

// checkResponse counts a response in the report. A complete response must contain
// want, and a request that claims not to have run must not have reached a backend
// server since runsBefore was read.
func (s *soak) checkResponse(got callResponse, key, nonce, want string, nonRepeatable bool, runsBefore int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Requests++
	if nonRepeatable {
		s.nonRepeatable[nonce] = true
	}
	complete := got.err == nil && got.status == http.StatusOK
	switch {
	case complete && !strings.Contains(got.body, want):
		s.report.CrossedResponses++
	case complete:
		s.report.Responses++
		s.complete[key] = true
	case got.err == nil:
		s.report.Refusals++
		if got.code() == "insufficient_budget" && s.availableTokens() > soakMaxReservation {
			s.report.FalseRefusals++
		}
	}
	if !complete && got.notRun() && s.runCounts.count(nonce) != runsBefore {
		s.report.FalseNotRun++
	}
}

// availableTokens returns the deposited tokens that no ledger has billed or
// reserved. The caller holds mu.
func (s *soak) availableTokens() int64 {
	available := s.deposited
	for _, domain := range s.domains {
		escrow := s.control(domain).Ledger.Escrow(siteWorkspace)
		available -= escrow.Billed + escrow.Reserved
	}
	return available
}

// checkBills checks, after the faults have ended and the ledgers have settled, that
// each request has at most one bill and each served one has a bill, that
// non-repeatable requests ran at most once, that the bills don't exceed the
// deposits, and that all control instances count all deposits and no tokens are
// reserved.
func (s *soak) checkBills() {
	bills := make(map[string][]ledger.Bill)
	var total int64
	for _, control := range s.controls {
		for _, bill := range control.Ledger.Bills() {
			bills[bill.Key] = append(bills[bill.Key], bill)
			total += bill.Tokens
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, list := range bills {
		if len(list) > 1 {
			s.report.DoubleBilled++
			s.events = append(s.events, fmt.Sprintf("double bill %s: %+v", key, list))
		}
	}
	for key := range s.complete {
		if len(bills[key]) == 0 {
			s.report.LostBills++
			s.events = append(s.events, "lost bill "+key)
		}
	}
	for nonce := range s.nonRepeatable {
		if s.runCounts.count(nonce) > 1 {
			s.report.RepeatedRuns++
			s.events = append(s.events, "ran twice "+nonce)
		}
	}
	s.report.Overspend += max(0, total-s.deposited)
	for domain, control := range s.controls {
		account, found := control.Group.Account(siteWorkspace)
		if !found || account.Deposited != s.deposited {
			s.t.Errorf("domain %s: %d tokens deposited, want %d", domain, account.Deposited, s.deposited)
		}
		err := account.Check()
		if err != nil {
			s.t.Errorf("domain %s: inconsistent account: %v", domain, err)
		}
		reserved := control.Ledger.Escrow(siteWorkspace).Reserved
		if reserved != 0 {
			s.t.Errorf("domain %s: %d tokens are still reserved, want 0", domain, reserved)
		}
		s.report.InDoubtTokens = max(s.report.InDoubtTokens, account.InDoubt())
	}
}
