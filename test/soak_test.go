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

// soakSeeds are the rounds of a plain test run.
var soakSeeds = []uint64{1, 2, 3, 4, 5, 6}

const (
	soakClients  = 6
	soakRequests = 15
	soakTries    = 6
	soakSettle   = 10 * time.Minute
	// soakWorstCase is above the tokens that any request reserves: a refusal
	// for the budget while more than that is left counts as false.
	soakWorstCase = 300
)

// soakReport is the one line that a run ends with.
type soakReport struct {
	Seed           uint64 `json:"seed"`
	Rounds         int    `json:"rounds"`
	Requests       int    `json:"requests"`
	Answers        int    `json:"answers"`
	Overspend      int64  `json:"overspend"`
	DoubleBilled   int    `json:"double_billed"`
	LostBills      int    `json:"lost_bills"`
	FalseNotRun    int    `json:"false_not_run"`
	RepeatedRuns   int    `json:"repeated_runs"`
	CrossedAnswers int    `json:"crossed_answers"`
	FalseRefusals  int    `json:"false_refusals"`
	Refusals       int    `json:"refusals"`
	InDoubtTokens  int64  `json:"in_doubt_tokens"`
}

// violations counts what must never happen.
func (r *soakReport) violations() int64 {
	return r.Overspend + int64(r.DoubleBilled+r.LostBills+r.FalseNotRun+r.RepeatedRuns+r.CrossedAnswers)
}

// TestSoak runs random faults over the whole fleet and checks at the end of
// each round what must always hold.
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

// soak is one round.
type soak struct {
	*site
	t      *testing.T
	seed   uint64
	tokens int64

	mu     sync.Mutex
	report *soakReport
	trace  []string
	// whole marks requests that a caller got whole, by key.
	whole map[string]bool
	once  map[string]bool
	start time.Time
}

func soakRound(t *testing.T, seed uint64, report *soakReport) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		tokens := 5_000 + random.Int64N(60_000)
		s := &soak{
			site:   newSite(t, tokens, "a", "b", "c"),
			t:      t,
			seed:   seed,
			tokens: tokens,
			report: report,
			whole:  make(map[string]bool),
			once:   make(map[string]bool),
			start:  time.Now(),
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
			s.runFaults(random, stop)
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
		time.Sleep(soakSettle)
		s.checkBills()
		report.Rounds++
		if report.violations() != before || t.Failed() {
			t.Errorf("seed %d: %+v\n%s", seed, *report, strings.Join(s.trace, "\n"))
		}
	})
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.start).Round(time.Millisecond)
	s.trace = append(s.trace, at.String()+" "+fmt.Sprintf(format, args...))
}

// runFaults brings faults about, one or two at a time, and ends with a whole
// site.
func (s *soak) runFaults(random *rand.Rand, stop <-chan struct{}) {
	for {
		domain := s.domains[random.IntN(len(s.domains))]
		undo := s.fault(random, domain)
		select {
		case <-time.After(time.Duration(random.IntN(20_000)) * time.Millisecond):
			undo()
		case <-stop:
			undo()
			return
		}
		select {
		case <-time.After(time.Duration(random.IntN(5_000)) * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// fault starts one fault and returns what ends it.
func (s *soak) fault(random *rand.Rand, domain string) func() {
	keep := random.IntN(64)
	switch random.IntN(5) {
	case 0:
		s.note("cut %s", domain)
		s.cutDomain(domain)
		return func() { s.note("heal %s", domain); s.healDomain(domain) }
	case 1:
		s.note("kill entry %s", domain)
		s.killEntry(domain)
		return func() { s.note("start entry %s", domain); s.startEntry(domain) }
	case 2:
		s.note("kill control %s", domain)
		s.killControl(domain, keep)
		return func() { s.note("start control %s", domain); s.startControl(domain) }
	case 3:
		s.note("one-way cut from control %s", domain)
		return s.oneWay(domain)
	default:
		s.note("cut %s and kill its control", domain)
		s.cutDomain(domain)
		s.killControl(domain, keep)
		return func() {
			s.note("start control %s and heal", domain)
			s.startControl(domain)
			s.healDomain(domain)
		}
	}
}

// oneWay cuts what a control instance sends to the other domains' ones.
func (s *soak) oneWay(domain string) func() {
	for _, other := range s.domains {
		if other != domain {
			s.network.Cut("control-"+domain, "control-"+other)
		}
	}
	return func() {
		s.note("heal one-way %s", domain)
		for _, other := range s.domains {
			if other != domain {
				s.network.Heal("control-"+domain, "control-"+other)
			}
		}
	}
}

// runOperators tops the budget up and races patches under one number, also
// while failure domains are cut off, and repeats each until it is answered.
func (s *soak) runOperators(random *rand.Rand, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-time.After(time.Duration(random.IntN(8_000)) * time.Millisecond):
		case <-stop:
			return
		}
		tokens := 100 + random.Int64N(5_000)
		deposit := group.Deposit{ID: fmt.Sprintf("top-up-%d", i), Workspace: siteWorkspace, Tokens: tokens}
		s.proposeUntilAnswered(random, deposit)
		s.mu.Lock()
		s.tokens += tokens
		s.mu.Unlock()
		s.racePatches(random, i)
	}
}

// racePatches sends two patches under the current number; one of them wins.
func (s *soak) racePatches(random *rand.Rand, round int) {
	current, _ := s.control(s.domains[random.IntN(len(s.domains))]).Group.Current()
	wins := 0
	for i := range 2 {
		result := s.proposeUntilAnswered(random, group.PatchConfiguration{
			ID:      fmt.Sprintf("patch-%d-%d", round, i),
			Against: current.Number,
			Patch:   fmt.Appendf(nil, `{"limits":{"body_bytes":%d}}`, 100_000+2*round+i),
		})
		if result.Code == group.CodeDone {
			wins++
		}
	}
	if wins > 1 {
		s.t.Errorf("%d patches won under version %d", wins, current.Number)
	}
}

// proposeUntilAnswered sends a command through any control instance until its
// answer is certain.
func (s *soak) proposeUntilAnswered(random *rand.Rand, command group.Command) group.Result {
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

// control returns the running or last control instance of a failure domain.
func (s *soak) control(domain string) *process.Control {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.controls[domain]
}

// runClient sends requests one after another and repeats each through any
// domain until it is answered.
func (s *soak) runClient(client int) {
	random := rand.New(rand.NewPCG(s.seed, uint64(client)+100))
	for i := range soakRequests {
		key := fmt.Sprintf("key-%d-%d", client, i)
		nonce := fmt.Sprintf("nonce-%d-%d-end", client, i)
		kind := random.IntN(3)
		tokens := 2 + random.IntN(30)
		for range soakTries {
			domain := s.domains[random.IntN(len(s.domains))]
			got := s.send(domain, kind, key, nonce, tokens)
			if got.status == http.StatusOK && got.err == nil {
				s.resend(random, kind, key, nonce, tokens)
				break
			}
			time.Sleep(time.Duration(200+random.IntN(4_000)) * time.Millisecond)
		}
	}
}

// resend repeats some answered requests through any domain, as a client does
// that lost the answer.
func (s *soak) resend(random *rand.Rand, kind int, key, nonce string, tokens int) {
	if random.IntN(3) > 0 {
		return
	}
	domain := s.domains[random.IntN(len(s.domains))]
	s.send(domain, kind, key, nonce, tokens)
}

// send makes one call and checks what its answer claims.
func (s *soak) send(domain string, kind int, key, nonce string, tokens int) answer {
	before := s.runs.count(nonce)
	var got answer
	want := nonce
	switch kind {
	case 0:
		body := fmt.Sprintf(`{"model":"demo","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, nonce, tokens)
		got = s.call(domain, "/v1/chat/completions", key, body)
		want = fmt.Sprintf("t%d ", tokens-1)
	case 1:
		got = s.call(domain, "/services/records/look", key, nonce)
	default:
		got = s.call(domain, "/services/orders/new", key, nonce)
	}
	s.judge(got, key, nonce, want, kind == 2, before)
	s.note("%s kind %d at %s: %d %s %v", key, kind, domain, got.status, got.code(), got.err)
	return got
}

func (s *soak) judge(got answer, key, nonce, want string, once bool, before int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Requests++
	if once {
		s.once[nonce] = true
	}
	whole := got.err == nil && got.status == http.StatusOK
	switch {
	case whole && !strings.Contains(got.body, want):
		s.report.CrossedAnswers++
	case whole:
		s.report.Answers++
		s.whole[key] = true
	case got.err == nil:
		s.report.Refusals++
		if got.code() == "insufficient_budget" && s.room() > soakWorstCase {
			s.report.FalseRefusals++
		}
	}
	if !whole && got.notRun() && s.runs.count(nonce) != before {
		s.report.FalseNotRun++
	}
}

// room returns the tokens that are neither billed nor reserved anywhere; the
// caller holds mu.
func (s *soak) room() int64 {
	left := s.tokens
	for _, domain := range s.domains {
		escrow := s.control(domain).Ledger.Escrow(siteWorkspace)
		left -= escrow.Billed + escrow.Reserved
	}
	return left
}

// checkBills compares bills, answers, runs and deposits after all faults.
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
			s.trace = append(s.trace, fmt.Sprintf("double bill %s: %+v", key, list))
		}
	}
	for key := range s.whole {
		if len(bills[key]) == 0 {
			s.report.LostBills++
			s.trace = append(s.trace, "lost bill "+key)
		}
	}
	for nonce := range s.once {
		if s.runs.count(nonce) > 1 {
			s.report.RepeatedRuns++
			s.trace = append(s.trace, "ran twice "+nonce)
		}
	}
	s.report.Overspend += max(0, total-s.tokens)
	for domain, control := range s.controls {
		account, found := control.Group.Account(siteWorkspace)
		if !found || account.Deposited != s.tokens {
			s.t.Errorf("domain %s: deposits %d, want %d", domain, account.Deposited, s.tokens)
		}
		err := account.Check()
		if err != nil {
			s.t.Errorf("domain %s: %v", domain, err)
		}
		reserved := control.Ledger.Escrow(siteWorkspace).Reserved
		if reserved != 0 {
			s.t.Errorf("domain %s: %d tokens are still reserved", domain, reserved)
		}
		s.report.InDoubtTokens = max(s.report.InDoubtTokens, account.InDoubt())
	}
}
