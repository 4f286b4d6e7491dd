package live

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/freeport"
	"github.com/cactusbay/cactusbay/internal/testbinary"
)

const (
	callerKey         = "caller-key"
	operatorKey       = "operator-key"
	workspace         = "north"
	depositedTokens   = 1_000_000
	eventuallyTimeout = 30 * time.Second
	requestTimeout    = 20 * time.Second
	pollInterval      = 50 * time.Millisecond
	maxBodyBytes      = 8 << 20
)

var domains = []string{"a", "b", "c"}

// binary is the path of the program that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	code, err := testbinary.Run(m, "../..", &binary)
	if err != nil {
		panic(err)
	}
	os.Exit(code)
}

// site is a fleet of real processes on loopback.
type site struct {
	t         *testing.T
	folder    string
	addresses map[string]string

	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

// newSite starts a control instance, an entry, an engine and a service in each
// failure domain and waits until every entry is ready.
func newSite(t *testing.T) *site {
	s := &site{t: t, folder: t.TempDir(), processes: make(map[string]*exec.Cmd)}
	t.Cleanup(s.stop)
	s.chooseAddresses()
	s.writeSettings()
	for _, domain := range domains {
		s.start("engine-" + domain)
		s.start("service-" + domain)
		s.start("control-" + domain)
		s.start("entry-" + domain)
	}
	for _, domain := range domains {
		s.waitReady("entry-" + domain)
	}
	return s
}

// chooseAddresses picks a free port for each listener.
func (s *site) chooseAddresses() {
	s.addresses = make(map[string]string)
	var names []string
	var offsets []uint16
	for _, domain := range domains {
		for _, use := range []string{"engine-", "service-", "peer-", "operator-", "caller-"} {
			offsets = append(offsets, uint16(len(names)))
			names = append(names, use+domain)
		}
	}
	base, err := freeport.Block(offsets...)
	if err != nil {
		s.t.Fatal(err)
	}
	for i, name := range names {
		s.addresses[name] = freeport.Above(base, offsets[i]).String()
	}
}

// write writes content as JSON to a file in the site's folder.
func (s *site) write(name string, content any) {
	data, err := json.MarshalIndent(content, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(s.folder, name), data, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// writeSettings writes the operator's key, the first configuration and the settings
// of all processes.
func (s *site) writeSettings() {
	err := os.WriteFile(filepath.Join(s.folder, "operator.key"), []byte(operatorKey), 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	s.write("configuration.json", s.document())
	var controls []map[string]any
	for _, domain := range domains {
		controls = append(controls, map[string]any{"instance_id": "control-" + domain, "failure_domain": domain, "peer_address": s.addresses["peer-"+domain]})
	}
	for _, domain := range domains {
		s.write("control-"+domain+".json", map[string]any{
			"instance_id": "control-" + domain, "role": "control", "failure_domain": domain,
			"peer_address": s.addresses["peer-"+domain], "operator_address": s.addresses["operator-"+domain],
			"data_folder": "data-" + domain, "controls": controls, "configuration": "configuration.json",
			"operators": []map[string]any{{"name": "test", "key": map[string]any{"file": "operator.key"}}},
			"deposits":  []map[string]any{{"id": "first", "workspace": workspace, "tokens": depositedTokens}},
		})
		s.write("entry-"+domain+".json", map[string]any{
			"instance_id": "entry-" + domain, "role": "entry", "failure_domain": domain,
			"caller_address": s.addresses["caller-"+domain], "controls": controls,
		})
		s.write("engine-"+domain+".json", map[string]any{"instance_id": "engine-" + domain, "failure_domain": domain, "address": s.addresses["engine-"+domain], "step_time": "20ms"})
		s.write("service-"+domain+".json", map[string]any{"instance_id": "service-" + domain, "failure_domain": domain, "address": s.addresses["service-"+domain]})
	}
}

// document returns the first configuration. Calls of the work "orders" must not run
// more than once.
func (s *site) document() config.Document {
	once := false
	document := config.Document{
		Workspaces:     map[string]config.Workspace{workspace: {KeyHashes: []string{config.HashKey(callerKey)}, Works: []string{"chat", "orders", "records"}}},
		BackendServers: make(map[string]config.BackendServer),
		Routes:         map[string]config.Route{"demo": {Work: "chat"}, "orders": {Work: "orders"}, "records": {Work: "records"}},
		Limits:         config.Limits{BodyBytes: maxBodyBytes},
	}
	var engines, services []string
	for _, domain := range domains {
		document.BackendServers["engine-"+domain] = config.BackendServer{Address: s.addresses["engine-"+domain], FailureDomain: domain, Kind: config.KindModel}
		document.BackendServers["service-"+domain] = config.BackendServer{Address: s.addresses["service-"+domain], FailureDomain: domain, Kind: config.KindService}
		engines = append(engines, "engine-"+domain)
		services = append(services, "service-"+domain)
	}
	document.Works = map[string]config.Work{
		"chat":    {Kind: config.KindModel, Model: "demo", BackendServers: engines},
		"orders":  {Kind: config.KindService, BackendServers: services, CallTokens: 10, Repeatable: &once},
		"records": {Kind: config.KindService, BackendServers: services, CallTokens: 10},
	}
	return document
}

// start starts the process with the given name, such as "entry-a". The part before
// the dash is its role; its output is appended to a log file of that name.
func (s *site) start(name string) {
	kind, _, _ := strings.Cut(name, "-")
	arguments := []string{kind}
	if kind == "engine" || kind == "service" {
		arguments = []string{"fake", kind}
	}
	arguments = append(arguments, "--settings", filepath.Join(s.folder, name+".json"))
	log, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	command := exec.Command(binary, arguments...)
	command.Stdout = log
	command.Stderr = log
	err = command.Start()
	_ = log.Close()
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[name] = command
}

// signal sends a signal to the running process with the given name.
func (s *site) signal(name string, number syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.processes[name].Process.Signal(number)
	if err != nil {
		s.t.Errorf("signal %s: %v", name, err)
	}
}

// kill sends SIGKILL to a process and waits until it has exited.
func (s *site) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	s.wait(name)
}

// wait waits until a process has exited and forgets it.
func (s *site) wait(name string) {
	s.mu.Lock()
	command := s.processes[name]
	delete(s.processes, name)
	s.mu.Unlock()
	_ = command.Wait()
}

// stop kills every process that still runs, checks all logs and, if the test failed,
// prints them.
func (s *site) stop() {
	s.mu.Lock()
	running := s.processes
	s.processes = nil
	s.mu.Unlock()
	for _, command := range running {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	s.checkLogs()
	if s.t.Failed() {
		s.showLogs()
	}
}

// checkLogs fails the test if a log holds a stack trace. An error logged with its stack
// shows source paths of the machine that built the program.
func (s *site) checkLogs() {
	paths, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		if bytes.Contains(data, []byte("stack trace")) {
			s.t.Errorf("log %s holds a stack trace, want none", filepath.Base(path))
		}
	}
}

// showLogs prints the logs of all processes.
func (s *site) showLogs() {
	paths, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		s.t.Logf("%s:\n%s", filepath.Base(path), data)
	}
}

// eventually polls done until it returns true, and fails the test after
// eventuallyTimeout.
func (s *site) eventually(what string, done func() bool) {
	s.t.Helper()
	end := time.Now().Add(eventuallyTimeout)
	for time.Now().Before(end) {
		if done() {
			return
		}
		time.Sleep(pollInterval)
	}
	s.t.Fatalf("not within %s: %s", eventuallyTimeout, what)
}

// waitReady waits until an entry answers its readiness check with 200.
func (s *site) waitReady(entry string) {
	s.t.Helper()
	_, domain, _ := strings.Cut(entry, "-")
	s.eventually(entry+" is ready", func() bool {
		response, err := http.Get("http://" + s.addresses["caller-"+domain] + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// callResponse is the response that a caller got, or the error of its request.
type callResponse struct {
	status int
	body   string
	err    error
}

// isOK reports whether the response has status 200 and its body was read whole.
func (r callResponse) isOK() bool {
	return r.err == nil && r.status == http.StatusOK
}

// send sends a caller's request to the entry of a failure domain and reads the whole
// response.
func (s *site) send(domain, path, key, body string) callResponse {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addresses["caller-"+domain]+path, strings.NewReader(body))
	if err != nil {
		return callResponse{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callResponse{status: response.StatusCode, body: string(data), err: err}
}

// chatBody returns the body of a completion request.
func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"demo","stream":%t,"messages":[{"role":"user","content":"hello"}],"max_tokens":%d}`, stream, tokens)
}

// sendUntilOK repeats a request at the entries of the given failure domains in turn
// until one returns a complete response with status 200.
func (s *site) sendUntilOK(path, key, body string, entryDomains ...string) callResponse {
	s.t.Helper()
	var got callResponse
	attempts := 0
	defer func() {
		if !got.isOK() {
			s.t.Logf("last response to %s: %+v", key, got)
		}
	}()
	s.eventually("a complete response to "+key, func() bool {
		got = s.send(entryDomains[attempts%len(entryDomains)], path, key, body)
		attempts++
		return got.isOK()
	})
	return got
}

// operatorRequest calls the operator API of a domain's control instance, decodes the
// JSON response into target and returns the status code.
func (s *site) operatorRequest(domain, method, path string, body, target any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.addresses["operator-"+domain]+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(target)
}

// billedTokens returns the workspace's billed tokens that a domain's control
// instance counts, or -1 if the read fails.
func (s *site) billedTokens(domain string) int64 {
	var budget struct {
		Billed int64 `json:"billed"`
	}
	_, err := s.operatorRequest(domain, http.MethodGet, "/v1/workspaces/"+workspace+"/budget", nil, &budget)
	if err != nil {
		return -1
	}
	return budget.Billed
}

// leader returns the failure domain of the control group's leader, or "" if no
// control instance names one.
func (s *site) leader() string {
	for _, domain := range domains {
		var status struct {
			Member struct {
				Leader string `json:"leader"`
			} `json:"member"`
		}
		_, err := s.operatorRequest(domain, http.MethodGet, "/v1/status", nil, &status)
		_, name, found := strings.Cut(status.Member.Leader, "-")
		if err == nil && found {
			return name
		}
	}
	return ""
}
