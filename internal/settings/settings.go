// Package settings reads the JSON settings of one process.
package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/check"
)

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Settings configure one entry or control process.
type Settings struct {
	InstanceID    string `json:"instance_id"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	// CallerAddress is where an entry serves callers.
	CallerAddress string `json:"caller_address,omitempty"`
	// OperatorAddress is where a control instance serves operators.
	OperatorAddress string `json:"operator_address,omitempty"`
	// PeerAddress is where a control instance serves the fleet's processes.
	PeerAddress string `json:"peer_address,omitempty"`
	// PeerBindAddress is where the listener for the peer address is opened, when
	// connections to that address are forwarded; empty means the same.
	PeerBindAddress string `json:"peer_bind_address,omitempty"`
	// StatusAddress serves health, readiness and metrics.
	StatusAddress string `json:"status_address,omitempty"`
	// MetricsAddress serves health, readiness and metrics too, where the status
	// address is asked by others.
	MetricsAddress string `json:"metrics_address,omitempty"`
	// DataFolder holds a control instance's durable state.
	DataFolder string `json:"data_folder,omitempty"`
	// Controls are the first members of the control group.
	Controls []Control `json:"controls,omitempty"`
	// Seeded is set on a site whose instances find each other through seeds;
	// it takes the place of controls.
	Seeded *Seeded `json:"seeded,omitempty"`
	// PeerSecret authenticates the fleet's processes to each other.
	PeerSecret *Secret `json:"peer_secret,omitempty"`
	// Operators are the keys of operators.
	Operators []Operator `json:"operators,omitempty"`
	// Configuration is a file that becomes version 1 of a new site.
	Configuration string `json:"configuration,omitempty"`
	// Deposits are made once on a new site.
	Deposits []Deposit `json:"deposits,omitempty"`
	// Platform is where an entry reads the list of live and leaving instances.
	Platform *Platform `json:"platform,omitempty"`
	Log      Log       `json:"log,omitzero"`
	Trace    Trace     `json:"trace,omitzero"`
	Shutdown Shutdown  `json:"shutdown,omitzero"`
}

// Control is one control instance.
type Control struct {
	InstanceID    string `json:"instance_id"`
	FailureDomain string `json:"failure_domain"`
	PeerAddress   string `json:"peer_address"`
}

// Secret names where a secret is read from: a file or an environment variable.
type Secret struct {
	File        string `json:"file,omitempty"`
	Environment string `json:"environment,omitempty"`
}

// Operator is a named operator's key.
type Operator struct {
	Name string `json:"name"`
	Key  Secret `json:"key"`
}

// Platform is the platform's list of instances.
type Platform struct {
	// Address is an IP number and a port.
	Address string `json:"address"`
}

// Deposit is a first deposit of a new site.
type Deposit struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// Log configures the structured log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level,omitempty"`
	// Format is text or json.
	Format string `json:"format,omitempty"`
	// LinesPerSecond bounds the lines of each kind; 0 means the default.
	LinesPerSecond int `json:"lines_per_second,omitempty"`
}

// Trace configures where spans go; empty means nowhere.
type Trace struct {
	File string `json:"file,omitempty"`
	// OTLPAddress is an OTLP/HTTP collector, an IP number and a port.
	OTLPAddress string `json:"otlp_address,omitempty"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// Limit ends requests that are still in progress; unset means never.
	Limit *check.Duration `json:"limit,omitempty"`
	// Lag is how long new connections are still served after readiness ended.
	Lag *check.Duration `json:"lag,omitempty"`
}

// Load reads and checks a settings file. Relative paths in it are relative to
// its folder.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Newf("settings %s are not valid:\n%w", path, err)
	}
	s.resolvePaths(filepath.Dir(path))
	return s, nil
}

// Parse reads and checks settings and reports every fault at once.
func Parse(data []byte) (*Settings, error) {
	faults := &check.Faults{}
	s := &Settings{}
	check.Decode(data, s, faults)
	if !faults.Has(".") {
		s.validate(faults)
	}
	err := faults.Err()
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) resolvePaths(folder string) {
	s.DataFolder = resolvePath(folder, s.DataFolder)
	s.Configuration = resolvePath(folder, s.Configuration)
	s.Trace.File = resolvePath(folder, s.Trace.File)
	if s.PeerSecret != nil {
		s.PeerSecret.File = resolvePath(folder, s.PeerSecret.File)
	}
	for i := range s.Operators {
		s.Operators[i].Key.File = resolvePath(folder, s.Operators[i].Key.File)
	}
}

func resolvePath(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// Read returns the secret's value.
func (s *Secret) Read() (string, error) {
	if s == nil {
		return "", nil
	}
	if s.Environment != "" {
		value := os.Getenv(s.Environment)
		if value == "" {
			return "", errors.Newf("environment variable %s is empty: set it to the secret", s.Environment)
		}
		return value, nil
	}
	data, err := os.ReadFile(s.File)
	if err != nil {
		return "", errors.Newf("read secret: %w", err)
	}
	value := strings.TrimSpace(string(data))
	if value == "" {
		return "", errors.Newf("secret file %s is empty: write the secret into it", s.File)
	}
	return value, nil
}

// PeerListenAddress returns where the listener for the fleet's processes is opened.
func (s *Settings) PeerListenAddress() string {
	if s.PeerBindAddress != "" {
		return s.PeerBindAddress
	}
	return s.PeerAddress
}

// NearestControls returns the peer addresses of the control instances, those
// of the own failure domain first.
func (s *Settings) NearestControls() []string {
	var near, far []string
	for _, control := range s.Controls {
		if control.FailureDomain == s.FailureDomain {
			near = append(near, control.PeerAddress)
		} else {
			far = append(far, control.PeerAddress)
		}
	}
	return append(near, far...)
}

func checkAddress(path, address string, faults *check.Faults) {
	_, err := netip.ParseAddrPort(address)
	if err != nil {
		faults.Add(path, `must be an IP number and a port, such as "127.0.0.1:8080"`)
	}
}
