package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	siteKey         = "caller-key"
	siteOperatorKey = "operator-key"
	siteWorkspace   = "north"
	callTimeout     = 30 * time.Second
)

// site is a whole fleet in one process, over a fake network and fake disks in
// memory. It must be created, used and closed inside one synctest bubble.
type site struct {
	t       *testing.T
	network *fake.Network
	domains []string
	// backendDomains are the failure domains that have backend servers: domains and
	// those without a control instance and an entry.
	backendDomains []string
	controls       map[string]*process.Control
	entries        map[string]*process.Entry
	disks          map[string]*fake.Disk
	engines        map[string]*fake.Engine
	services       map[string]*fake.Service
	fakes          []*process.Fake
	settings       map[string]*settings.Settings
	invariants     *invariant.Checker
	// runCounts counts the requests with a nonce at all backend servers.
	runCounts *runCounter
	// processesMu guards controls and entries against a soak's fault injector, which
	// restarts them while clients run.
	processesMu sync.Mutex
}

// newSite starts a control instance, an entry, an engine and a service in each
// failure domain, deposits tokens for the workspace, and returns once the entries
// are ready and all control instances count the deposit.
func newSite(t *testing.T, tokens int64, domains ...string) *site {
	return newSiteWith(t, tokens, nil, domains...)
}

// newSiteWith is newSite with the further failure domains backendOnly, which have
// an engine and a service only.
func newSiteWith(t *testing.T, tokens int64, backendOnly []string, domains ...string) *site {
	s := &site{
		t:              t,
		network:        &fake.Network{},
		domains:        domains,
		backendDomains: append(append([]string(nil), domains...), backendOnly...),
		controls:       make(map[string]*process.Control),
		entries:        make(map[string]*process.Entry),
		disks:          make(map[string]*fake.Disk),
		engines:        make(map[string]*fake.Engine),
		services:       make(map[string]*fake.Service),
		settings:       make(map[string]*settings.Settings),
		runCounts:      &runCounter{},
	}
	s.invariants = &invariant.Checker{Fatal: func(err error) { t.Errorf("%v", err) }}
	s.writeSettings(tokens)
	for i, domain := range s.backendDomains {
		s.startFakes(i, domain)
	}
	for _, domain := range domains {
		s.disks["control-"+domain] = &fake.Disk{}
	}
	for _, domain := range domains {
		s.startControl(domain)
	}
	for _, domain := range domains {
		s.startEntry(domain)
		<-s.entries[domain].Watcher.Ready()
	}
	for _, domain := range domains {
		s.awaitDeposit(domain, tokens)
	}
	return s
}

// awaitDeposit waits until a domain's control instance counts the first deposit,
// which a new site makes after its first configuration.
func (s *site) awaitDeposit(domain string, tokens int64) {
	for range 1000 {
		account, _ := s.controls[domain].Group.Account(siteWorkspace)
		if account.Deposited >= tokens {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Fatalf("the control instance of domain %s has not applied the first deposit", domain)
}

// address returns the network address of a port at the host with a zero-based
// number.
func address(host, port int) string {
	return fmt.Sprintf("10.0.0.%d:%d", host+1, port)
}

// writeSettings writes the first configuration and the operator's key to files and
// fills in the settings of all control instances and entries.
func (s *site) writeSettings(tokens int64) {
	document, err := json.Marshal(s.document())
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.t.TempDir(), "configuration.json")
	err = os.WriteFile(path, document, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	keyPath := filepath.Join(s.t.TempDir(), "operator.key")
	err = os.WriteFile(keyPath, []byte(siteOperatorKey), 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	var controls []settings.Control
	for i, domain := range s.domains {
		controls = append(controls, settings.Control{InstanceID: "control-" + domain, FailureDomain: domain, PeerAddress: address(i, 9000)})
	}
	for i, domain := range s.domains {
		s.settings["control-"+domain] = &settings.Settings{
			InstanceID:      "control-" + domain,
			Role:            settings.RoleControl,
			FailureDomain:   domain,
			PeerAddress:     address(i, 9000),
			OperatorAddress: address(i, 9001),
			DataFolder:      "memory",
			Controls:        controls,
			Configuration:   path,
			Deposits:        []settings.Deposit{{ID: "first", Workspace: siteWorkspace, Tokens: tokens}},
			Operators:       []settings.Operator{{Name: "test", Key: settings.Secret{File: keyPath}}},
		}
		s.settings["entry-"+domain] = &settings.Settings{
			InstanceID:    "entry-" + domain,
			Role:          settings.RoleEntry,
			FailureDomain: domain,
			CallerAddress: address(i, 8080),
			Controls:      controls,
		}
	}
}

// document returns the first configuration. Calls of the work "orders" must not
// run more than once.
func (s *site) document() config.Document {
	once := false
	document := config.Document{
		Workspaces: map[string]config.Workspace{
			siteWorkspace: {KeyHashes: []string{config.HashKey(siteKey)}, Works: []string{"chat", "records", "orders"}},
		},
		BackendServers: make(map[string]config.BackendServer),
		Routes: map[string]config.Route{
			"demo":    {Work: "chat"},
			"records": {Work: "records"},
			"orders":  {Work: "orders"},
		},
	}
	var engines, services []string
	for i, domain := range s.backendDomains {
		engine := "engine-" + domain
		service := "service-" + domain
		document.BackendServers[engine] = config.BackendServer{Address: address(i, 7000), FailureDomain: domain, Kind: config.KindModel}
		document.BackendServers[service] = config.BackendServer{Address: address(i, 7001), FailureDomain: domain, Kind: config.KindService}
		engines = append(engines, engine)
		services = append(services, service)
	}
	document.Works = map[string]config.Work{
		"chat":    {Kind: config.KindModel, Model: "demo", BackendServers: engines},
		"records": {Kind: config.KindService, BackendServers: services, CallTokens: 10},
		"orders":  {Kind: config.KindService, BackendServers: services, CallTokens: 10, Repeatable: &once},
	}
	return document
}

// startFakes starts the engine and the service of a failure domain on host i.
func (s *site) startFakes(i int, domain string) {
	engine := &fake.Engine{}
	service := &fake.Service{}
	s.engines[domain] = engine
	s.services[domain] = service
	for port, handler := range map[int]http.Handler{7000: engine.Handler(), 7001: service.Handler()} {
		started, err := process.StartFake(s.network.Host("backend-"+domain), address(i, port), s.runCounts.wrap(handler))
		if err != nil {
			s.t.Fatal(err)
		}
		s.fakes = append(s.fakes, started)
	}
}

// environment returns the environment of an instance: its host on the fake network
// and, for a control instance, its fake disk.
func (s *site) environment(name string) process.Environment {
	environment := process.Environment{
		Network:   s.network.Host(name),
		Telemetry: observe.Discard(),
		Check:     s.invariants,
	}
	disk := s.disks[name]
	if disk != nil {
		environment.Folder = disk.Mount()
	}
	return environment
}

// startControl starts the control instance of a failure domain on its disk.
func (s *site) startControl(domain string) {
	name := "control-" + domain
	control, err := process.StartControl(s.settings[name], s.environment(name))
	if err != nil {
		s.t.Fatal(err)
	}
	s.processesMu.Lock()
	defer s.processesMu.Unlock()
	s.controls[domain] = control
}

// startEntry starts the entry of a failure domain. It doesn't wait until the entry
// is ready.
func (s *site) startEntry(domain string) {
	name := "entry-" + domain
	entry, err := process.StartEntry(s.settings[name], s.environment(name))
	if err != nil {
		s.t.Fatal(err)
	}
	s.processesMu.Lock()
	defer s.processesMu.Unlock()
	s.entries[domain] = entry
}

// killEntry ends an entry as SIGKILL does: its connections break at once.
func (s *site) killEntry(domain string) {
	s.network.Kill("entry-" + domain)
	s.entries[domain].Close()
}

// killControl ends a control instance as a loss of power does: only the first
// unsyncedBytes of the data that was not synced survive on its disk.
func (s *site) killControl(domain string, unsyncedBytes int) {
	name := "control-" + domain
	s.network.Kill(name)
	s.disks[name].Crash(unsyncedBytes)
	s.controls[domain].Close()
}

// hosts returns the names of a failure domain's hosts on the fake network.
func hosts(domain string) []string {
	return []string{"control-" + domain, "entry-" + domain, "backend-" + domain}
}

// forEachLink calls set for both directions of every link between a host of a
// failure domain and a host of another failure domain.
func (s *site) forEachLink(domain string, set func(from, to string)) {
	for _, other := range s.domains {
		if other == domain {
			continue
		}
		for _, near := range hosts(domain) {
			for _, far := range hosts(other) {
				set(near, far)
				set(far, near)
			}
		}
	}
}

// cutDomain partitions a failure domain from all other failure domains.
func (s *site) cutDomain(domain string) {
	s.forEachLink(domain, s.network.Cut)
}

// healDomain ends the partition of a failure domain.
func (s *site) healDomain(domain string) {
	s.forEachLink(domain, s.network.Heal)
}

// close ends every process, so that the synctest bubble can end: it requires that
// all its goroutines have returned.
func (s *site) close() {
	for _, entry := range s.entries {
		entry.Close()
	}
	for _, control := range s.controls {
		control.Close()
	}
	for _, started := range s.fakes {
		started.Close()
	}
}

// callResponse is the response that a caller got, or the error of its request.
type callResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// code returns the code of an error response, or "".
func (r callResponse) code() string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Error.Code
}

// notRun reports whether the response claims that the request did not run.
func (r callResponse) notRun() bool {
	var body struct {
		Error struct {
			NotRun bool `json:"not_run"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Error.NotRun
}

// send sends a caller's request to the entry of a failure domain and reads the
// whole response. An empty key sends no Idempotency-Key header.
func (s *site) send(domain, path, key, body string) callResponse {
	client := transport.Client(s.network.Host("caller"))
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings["entry-"+domain].CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return callResponse{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+siteKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return callResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// chat sends a completion request that isn't streamed to the entry of a failure
// domain.
func (s *site) chat(domain, key string, maxTokens int) callResponse {
	body := fmt.Sprintf(`{"model":"demo","messages":[{"role":"user","content":"hello"}],"max_tokens":%d}`, maxTokens)
	return s.send(domain, "/v1/chat/completions", key, body)
}
