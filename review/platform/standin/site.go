package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes, each on a loopback address of its own.
const (
	peerPort    = 7340
	controlPort = 8229
	callerPort  = 8227
	readyPort   = 8220
	metricsPort = 9464
)

// Values of a small deployment.
const (
	graceSeconds = 8
	memoryMB     = 284
	linkMbps     = 1000
	zoneCount    = 3
)

// Bounds of a small deployment: ack-ms, contact-ms and recover-s.
const (
	ackTime     = 4 * time.Second
	touchTime   = 3 * time.Second
	recoverTime = 12 * time.Second
)

// program is the program of the deploy file, relative to the repository root.
const program = "target/cactusbay"

// site is a small deployment with its stand-ins.
type site struct {
	start    time.Time
	folder   string
	network  int
	reserved net.Listener

	mu        sync.Mutex
	record    *os.File
	closed    bool
	processes map[string]*process
	servers   []*server
	list      *instanceList
	ids       int
	// operators are the numbers of the control instances that the operator calls.
	operators []int
	// seedNumbers are the numbers of the control instances that new settings name as seeds.
	seedNumbers []int
}

// process is one process of the deployment.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	// settings are those in the file at path.
	settings map[string]any
	path     string
}

// newSite reserves a network of loopback addresses and starts the stand-in of the list.
func newSite(recordPath string) (*site, error) {
	_, err := os.Stat(program)
	if err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	s := &site{start: time.Now(), processes: make(map[string]*process), operators: []int{0, 1, 2}, seedNumbers: []int{0, 1, 2}}
	s.record, err = os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s.folder, err = os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	for s.network = 130; s.network < 200; s.network++ {
		s.reserved, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", s.network, peerPort))
		if err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	s.list = &instanceList{site: s}
	return s, s.list.serve()
}

// close kills all processes and removes the temporary folder.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	processes := maps.Clone(s.processes)
	s.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill()
		<-p.exited
	}
	_ = s.reserved.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
	_ = s.record.Close()
}

// log writes one line to the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(format, args...)
}

// logLocked is log while mu is held.
func (s *site) logLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(s.record, "%9.3f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// nextID returns a new id with the given prefix.
func (s *site) nextID(prefix string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids++
	return fmt.Sprintf("%s-%d", prefix, s.ids)
}

// controlHost and entryHost return the loopback addresses of the machines.
func (s *site) controlHost(number int) string { return fmt.Sprintf("127.%d.1.%d", s.network, number+1) }
func (s *site) entryHost(number int) string   { return fmt.Sprintf("127.%d.2.%d", s.network, number+1) }

func controlName(number int) string { return fmt.Sprintf("control-%d", number) }
func entryName(number int) string   { return fmt.Sprintf("entry-%d", number) }

// zoneOf returns the zone of the machine or server with the given number.
func zoneOf(number int) string { return string(rune('a' + number%zoneCount)) }

// hostPort joins a host and a port.
func hostPort(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// operatorAddress returns where the operator calls a control instance.
func (s *site) operatorAddress(number int) string {
	return hostPort(s.controlHost(number), controlPort)
}

// callerAddress returns where clients call an entry.
func (s *site) callerAddress(number int) string { return hostPort(s.entryHost(number), callerPort) }

// dataFolder returns the disk of a control instance.
func (s *site) dataFolder(number int) string {
	return filepath.Join(s.folder, controlName(number)+".data")
}

// seeds returns the control addresses of the three seeds.
func (s *site) seeds() []string {
	var addresses []string
	for _, number := range s.seedNumbers {
		addresses = append(addresses, s.operatorAddress(number))
	}
	return addresses
}

// zones returns the table of zones and their region.
func zones() map[string]string { return map[string]string{"a": "r", "b": "r", "c": "r"} }

// startControl starts a control instance with the settings that deploy/control.tmpl gives.
func (s *site) startControl(number int, bootstrap bool) error {
	host := s.controlHost(number)
	err := os.MkdirAll(s.dataFolder(number), 0o700)
	if err != nil {
		return err
	}
	return s.startProcess(controlName(number), "control", map[string]any{
		"instance_id":      controlName(number),
		"role":             "control",
		"failure_domain":   zoneOf(number),
		"region":           "r",
		"operator_address": hostPort(host, controlPort),
		"peer_address":     hostPort(host, peerPort),
		"data_folder":      s.dataFolder(number),
		"metrics_address":  hostPort(host, metricsPort),
		"log":              map[string]any{"level": "info", "format": "json"},
		"shutdown":         map[string]any{"limit": fmt.Sprintf("%ds", graceSeconds)},
		"seeded": map[string]any{
			"dialect":         "platform",
			"seeds":           s.seeds(),
			"peer_port":       peerPort,
			"founding":        bootstrap,
			"tolerance":       map[string]any{"instances": 1, "failure_domains": 1},
			"instance_list":   s.list.address,
			"failure_domains": zones(),
			"memory_mb":       memoryMB,
		},
	})
}

// startEntry starts an entry with the settings that deploy/entry.tmpl gives.
func (s *site) startEntry(number int) error {
	host := s.entryHost(number)
	return s.startProcess(entryName(number), "entry", map[string]any{
		"instance_id":     entryName(number),
		"role":            "entry",
		"failure_domain":  zoneOf(number),
		"region":          "r",
		"caller_address":  hostPort(host, callerPort),
		"status_address":  hostPort(host, readyPort),
		"metrics_address": hostPort(host, metricsPort),
		"log":             map[string]any{"level": "info", "format": "json"},
		"shutdown":        map[string]any{"limit": fmt.Sprintf("%ds", graceSeconds)},
		"seeded": map[string]any{
			"dialect":         "platform",
			"seeds":           s.seeds(),
			"peer_port":       peerPort,
			"instance_list":   s.list.address,
			"failure_domains": zones(),
			"memory_mb":       memoryMB,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
			"overload":        map[string]any{"link_mbps": linkMbps, "memory_mb": memoryMB, "divert": true, "refuse_connections": true},
			"retries":         map[string]any{"ratio": 0.2, "slack": 58, "window": "10s"},
		},
	})
}

// startAll starts three control instances and the given number of entries for the first time.
func (s *site) startAll(entries int) error {
	for number := range 3 {
		err := s.startControl(number, true)
		if err != nil {
			return err
		}
	}
	for number := range entries {
		err := s.startEntry(number)
		if err != nil {
			return err
		}
	}
	return nil
}

// startProcess writes the settings of a process and starts it with the command of the deploy
// file.
func (s *site) startProcess(name, role string, settings map[string]any) error {
	path := filepath.Join(s.folder, name+".json")
	err := writeSettings(path, settings)
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(program, role)
	command.Env = []string{"CACTUSBAY_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + s.folder}
	command.Stdout = output
	command.Stderr = output
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errInterrupted
	}
	err = command.Start()
	if err != nil {
		return err
	}
	p := &process{command: command, exited: make(chan struct{}), path: path, settings: settings}
	s.processes[name] = p
	go func() {
		err := command.Wait()
		s.log("process %s (%d) ended: %v", name, command.Process.Pid, err)
		close(p.exited)
	}()
	s.logLocked("process %s (%d) started", name, command.Process.Pid)
	return nil
}

// writeSettings replaces a settings file at once.
func writeSettings(path string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	err = os.WriteFile(path+".tmp", data, 0o600)
	if err != nil {
		return err
	}
	return os.Rename(path+".tmp", path)
}

// reseed gives all running processes settings with other seeds, in which the first start of
// the deployment is over, and sends them SIGHUP.
func (s *site) reseed(numbers ...int) error {
	s.seedNumbers = numbers
	for name, p := range s.processes {
		if !s.isRunning(name) {
			continue
		}
		seeded, ok := p.settings["seeded"].(map[string]any)
		if !ok {
			return errors.New("settings of " + name + " have no seeds")
		}
		seeded["seeds"] = s.seeds()
		delete(seeded, "founding")
		err := writeSettings(p.path, p.settings)
		if err != nil {
			return err
		}
		s.signal(name, syscall.SIGHUP)
	}
	s.log("the settings name other seeds: %v", s.seeds())
	return nil
}

// signal sends a signal to a process that this program started.
func (s *site) signal(name string, number syscall.Signal) {
	p := s.processes[name]
	select {
	case <-p.exited:
		return
	default:
	}
	s.log("%v to %s", number, name)
	_ = p.command.Process.Signal(number)
}

// kill kills a process and waits for its end.
func (s *site) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	<-s.processes[name].exited
}

// isRunning reports whether a process has not ended.
func (s *site) isRunning(name string) bool {
	select {
	case <-s.processes[name].exited:
		return false
	default:
		return true
	}
}

// waitReady waits until an entry reports ready.
func (s *site) waitReady(number int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + hostPort(s.entryHost(number), readyPort) + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			s.log("%s is ready", entryName(number))
			return nil
		}
	}
	return errors.New(entryName(number) + " does not become ready")
}
