package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	program      = "target/cactusbay"
	peerPort     = 17340
	controlPort  = 17341
	callerPort   = 17342
	readyPort    = 17343
	controlCount = 3
	zone         = "z-a"
	startTimeout = 25 * time.Second
	// contactTime, applyTime and listLag are contact-ms, config-apply-ms and lag-ms of the
	// small deployments.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	listLag     = 800 * time.Millisecond
)

// fleet is a site of the project's programs with stand-ins around them.
type fleet struct {
	folder  string
	network int
	started time.Time
	// guard keeps the network to this run.
	guard    net.Listener
	platform *platform
	listAt   string
	// controlLinks are the links in front of the control instances.
	controlLinks []*link
	// processes holds the process of each name that was started last.
	processes map[string]*child

	mu     sync.Mutex
	record *os.File
}

// newFleet returns a fleet without processes that writes to the record file.
func newFleet(recordPath string) (*fleet, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "fleet2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: record, started: time.Now(), platform: &platform{}, processes: make(map[string]*child)}
	for f.network = 64; f.network < 127 && f.guard == nil; f.network++ {
		f.guard, _ = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", f.network, peerPort))
	}
	f.network--
	if f.guard == nil {
		return nil, errors.New("no free loopback network")
	}
	f.listAt, err = serveHTTP("127.0.0.1:0", f.platform)
	return f, err
}

// log writes a line to the record and to the standard output.
func (f *fleet) log(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, arguments...))
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.record.WriteString(line)
	fmt.Print(line)
}

// note writes a line to the record alone.
func (f *fleet) note(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, arguments...))
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.record.WriteString(line)
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for name := range f.processes {
		f.kill(name)
	}
	_ = os.RemoveAll(f.folder)
	_ = f.guard.Close()
	_ = f.record.Close()
}

// closeOnSignal ends the processes if the case itself is ended early.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(exitFailed)
	}()
}

// controlHost is the host that a control instance names to others, and controlBindHost the one
// that it listens on.
func (f *fleet) controlHost(number int) string {
	return fmt.Sprintf("127.%d.0.%d", f.network, number+1)
}

func (f *fleet) controlBindHost(number int) string {
	return fmt.Sprintf("127.%d.1.%d", f.network, number+1)
}

func (f *fleet) entryHost(number int) string {
	return fmt.Sprintf("127.%d.2.%d", f.network, number+1)
}

// entryName returns the name of an entry, which its calls to control instances contain.
func entryName(number int) string { return fmt.Sprintf("edge-%s-%d", zone, number+1) }

// controlName returns the name of a control instance.
func controlName(number int) string { return fmt.Sprintf("core-%s-%d", zone, number+1) }

// dataFolder returns the folder of a control instance.
func (f *fleet) dataFolder(number int) string {
	return filepath.Join(f.folder, fmt.Sprintf("data-%d", number+1))
}

// start starts three control instances and some entries, and waits until all answer.
func (f *fleet) start(entries int, firstConfiguration string) error {
	for number := range controlCount {
		l, err := newLink(fmt.Sprintf("%s:%d", f.controlHost(number), peerPort), fmt.Sprintf("%s:%d", f.controlBindHost(number), peerPort))
		if err != nil {
			return err
		}
		f.controlLinks = append(f.controlLinks, l)
		err = f.startProcess("control", controlName(number), f.controlSettings(number))
		if err != nil {
			return err
		}
	}
	for number := range entries {
		err := f.startProcess("entry", entryName(number), f.entrySettings(number))
		if err != nil {
			return err
		}
	}
	end := time.Now().Add(startTimeout)
	for f.put(0, firstConfiguration) != http.StatusOK {
		if time.Now().After(end) {
			return errors.New("no configuration was acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
	for number := range entries {
		for !f.isReady(number) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", entryName(number))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(contactTime)
	f.log("%d control instances and %d entries run and are in touch", controlCount, entries)
	return nil
}

// isReady asks an entry whether it is ready.
func (f *fleet) isReady(number int) bool {
	response, err := shortClient.Get(fmt.Sprintf("http://%s:%d/api/readyz", f.entryHost(number), readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// shortClient is the operator's and the balancer's client.
var shortClient = &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// put sends a configuration to a control instance and returns the status; 0 if there was none.
func (f *fleet) put(number int, configuration string) int {
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/api/configuration", f.controlBindHost(number), controlPort), bytes.NewReader([]byte(configuration)))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := shortClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	f.note("operator: PUT to control instance %d: %d %s", number+1, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode
}

// startProcess starts a program of the deploy file.
func (f *fleet) startProcess(role, name string, settings map[string]any) error {
	path := filepath.Join(f.folder, name+".json")
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	err = os.WriteFile(path, data, 0o600)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(program, role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSBAY_CONFIG=" + path}
	command.Stdout, command.Stderr = output, output
	err = command.Start()
	if err != nil {
		return err
	}
	c := &child{process: command.Process, done: make(chan struct{})}
	f.processes[name] = c
	go func() {
		_ = command.Wait()
		close(c.done)
	}()
	return nil
}

// child is a process that the fleet has started.
type child struct {
	process *os.Process
	// done is closed once the process has ended.
	done chan struct{}
}

// kill ends a process and waits for its end.
func (f *fleet) kill(name string) {
	c := f.processes[name]
	_ = c.process.Signal(syscall.SIGKILL)
	<-c.done
}

// commonSettings are the settings of the seeded part of all processes.
func (f *fleet) commonSettings() map[string]any {
	var seeds []string
	for number := range controlCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.controlHost(number), controlPort))
	}
	return map[string]any{
		"dialect": "platform", "seeds": seeds, "peer_port": peerPort, "instance_list": f.listAt,
		"failure_domains": map[string]string{zone: "r"}, "memory_mb": 284,
	}
}

// controlSettings are those of deploy/control.tmpl, with a link in front of the peer port.
func (f *fleet) controlSettings(number int) map[string]any {
	seeded := f.commonSettings()
	seeded["founding"] = true
	seeded["tolerance"] = map[string]int{"instances": 1, "failure_domains": 1}
	return map[string]any{
		"instance_id": controlName(number), "role": "control", "failure_domain": zone, "region": "r",
		"operator_address":  fmt.Sprintf("%s:%d", f.controlBindHost(number), controlPort),
		"peer_address":      fmt.Sprintf("%s:%d", f.controlHost(number), peerPort),
		"peer_bind_address": fmt.Sprintf("%s:%d", f.controlBindHost(number), peerPort),
		"data_folder":       f.dataFolder(number),
		"log":               map[string]string{"level": "info", "format": "json"},
		"shutdown":          map[string]string{"limit": "8s"}, "seeded": seeded,
	}
}

// entrySettings are those of deploy/entry.tmpl, with a source address by which links tell the
// entries apart.
func (f *fleet) entrySettings(number int) map[string]any {
	seeded := f.commonSettings()
	seeded["source_address"] = f.entryHost(number)
	seeded["contracts"] = []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"}
	seeded["overload"] = map[string]any{"link_mbps": 1000.0, "memory_mb": 284, "divert": true, "refuse_connections": true}
	seeded["retries"] = map[string]any{"ratio": 0.2, "slack": 54, "window": "10s"}
	return map[string]any{
		"instance_id": entryName(number), "role": "entry", "failure_domain": zone, "region": "r",
		"caller_address": fmt.Sprintf("%s:%d", f.entryHost(number), callerPort),
		"status_address": fmt.Sprintf("%s:%d", f.entryHost(number), readyPort),
		"log":            map[string]string{"level": "info", "format": "json"},
		"shutdown":       map[string]string{"limit": "8s"}, "seeded": seeded,
	}
}

// serveHTTP serves a handler on an address and returns the address.
func serveHTTP(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
	sent   time.Time
	ended  time.Time
	// leaving is set if the answer says that its server leaves.
	leaving bool
}

// request is what a client sends.
type request struct {
	method, host, path, id string
	header                 map[string]string
	deadline               time.Duration
}

// send sends a request to an entry and reads the whole answer.
func (f *fleet) send(client *http.Client, entry int, r request) answer {
	a := answer{sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, fmt.Sprintf("http://%s:%d%s", f.entryHost(entry), callerPort, r.path), nil)
	if err != nil {
		a.err = err
		return a
	}
	httpRequest.Host = r.host
	httpRequest.Header.Set("X-Cactusbay-Attempt-Id", r.id)
	httpRequest.Header.Set("X-Cactusbay-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	for name, value := range r.header {
		httpRequest.Header.Set(name, value)
	}
	response, err := client.Do(httpRequest)
	if err == nil {
		a.status = response.StatusCode
		a.stamp = response.Header.Get("X-Cactusbay-Server-Stamp")
		a.leaving = response.Header.Get("Server-Leaving") == "1"
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.body = string(text)
	}
	a.err = err
	a.ended = time.Now()
	return a
}
