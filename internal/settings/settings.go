// Package settings reads, validates and reloads the JSON settings files of the
// processes.
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

// Settings holds the settings of one entry or control instance. Addresses are IP
// addresses with a port.
type Settings struct {
	InstanceID string `json:"instance_id"`
	// Role is RoleEntry or RoleControl.
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	// CallerAddress is the address on which an entry serves callers.
	CallerAddress string `json:"caller_address,omitempty"`
	// OperatorAddress is the address on which a control instance serves operators.
	OperatorAddress string `json:"operator_address,omitempty"`
	// PeerAddress is the address at which a control instance serves the other
	// processes of the fleet.
	PeerAddress string `json:"peer_address,omitempty"`
	// PeerBindAddress is the address on which the listener for peers is opened if
	// connections to PeerAddress are forwarded to it; empty means PeerAddress.
	PeerBindAddress string `json:"peer_bind_address,omitempty"`
	// StatusAddress is the address for health, readiness and metrics.
	StatusAddress string `json:"status_address,omitempty"`
	// MetricsAddress is a second address for health, readiness and metrics, for
	// sites on which the platform polls StatusAddress.
	MetricsAddress string `json:"metrics_address,omitempty"`
	// MaxConnections bounds the open connections for callers of an entry; 0 means as many as
	// descriptors and memory allow.
	MaxConnections int `json:"max_connections,omitempty"`
	// MemoryMB is the memory of an entry of a site without Seeded, in MiB; 0 stands for 256.
	MemoryMB int `json:"memory_mb,omitempty"`
	// DataFolder is the folder for the durable state of a control instance.
	DataFolder string `json:"data_folder,omitempty"`
	// Controls are the initial members of the control group.
	Controls []Control `json:"controls,omitempty"`
	// Seeded is set on a site whose instances find each other through seeds; it
	// replaces Controls.
	Seeded *Seeded `json:"seeded,omitempty"`
	// PeerSecret authenticates the processes of the fleet to each other.
	PeerSecret *Secret `json:"peer_secret,omitempty"`
	// Operators lists the operators and their keys.
	Operators []Operator `json:"operators,omitempty"`
	// Configuration is the path of the file that becomes configuration version 1
	// of a new site.
	Configuration string `json:"configuration,omitempty"`
	// Deposits are made once on a new site.
	Deposits []Deposit `json:"deposits,omitempty"`
	// Platform is the platform whose list of live and leaving instances an entry
	// polls; nil means none.
	Platform *Platform `json:"platform,omitempty"`
	Log      Log       `json:"log,omitzero"`
	Trace    Trace     `json:"trace,omitzero"`
	Shutdown Shutdown  `json:"shutdown,omitzero"`
}

// Control identifies one control instance.
type Control struct {
	InstanceID    string `json:"instance_id"`
	FailureDomain string `json:"failure_domain"`
	PeerAddress   string `json:"peer_address"`
}

// Secret names the source of a secret: a file or an environment variable.
type Secret struct {
	File        string `json:"file,omitempty"`
	Environment string `json:"environment,omitempty"`
}

// Operator is an operator's name and key.
type Operator struct {
	Name string `json:"name"`
	Key  Secret `json:"key"`
}

// Platform locates the platform's list of instances.
type Platform struct {
	// Address is an IP address and a port.
	Address string `json:"address"`
}

// Deposit is an initial deposit of a new site.
type Deposit struct {
	// ID makes a repeated deposit have no effect.
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
}

// Log configures the structured log.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `json:"level,omitempty"`
	// Format is text or json.
	Format string `json:"format,omitempty"`
	// LinesPerSecond limits the lines with the same message; 0 means the default.
	LinesPerSecond int `json:"lines_per_second,omitempty"`
}

// Trace configures the export of spans; without a file and an address, none are
// recorded.
type Trace struct {
	// File is the path of a file to which spans are appended.
	File string `json:"file,omitempty"`
	// OTLPAddress is the IP address and port of an OTLP/HTTP collector.
	OTLPAddress string `json:"otlp_address,omitempty"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// Limit is the time after which requests in progress are cut off; unset means
	// never.
	Limit *check.Duration `json:"limit,omitempty"`
	// Lag is how long new connections are accepted after the instance reported not
	// ready.
	Lag *check.Duration `json:"lag,omitempty"`
}

// Load reads and validates a settings file. Its error lists all faults. Relative
// paths are resolved against the folder of the file.
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

// Parse decodes and validates settings. If they are not valid, the error is a
// *check.Error that lists all faults.
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

// resolvePath resolves a relative path against folder. An empty path stays empty.
func resolvePath(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// Read returns the value of the secret without surrounding white space if it is
// read from a file. A nil secret has the value ""; an empty value is an error.
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

// PeerListenAddress returns the address on which the listener for peers is opened.
func (s *Settings) PeerListenAddress() string {
	if s.PeerBindAddress != "" {
		return s.PeerBindAddress
	}
	return s.PeerAddress
}

// NearestControls returns the peer addresses of the control instances, with those
// in the failure domain of this process first.
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

// checkAddress adds a fault unless address is an IP address and a port.
func checkAddress(path, address string, faults *check.Faults) {
	_, err := netip.ParseAddrPort(address)
	if err != nil {
		faults.Add(path, `must be an IP number and a port, such as "127.0.0.1:8080"`)
	}
}
