package settings

import (
	"fmt"

	"github.com/cactusbay/cactusbay/internal/check"
)

func (s *Settings) validate(faults *check.Faults) {
	checkRequired("instance_id", s.InstanceID, "a name of its own for the instance", faults)
	checkRequired("failure_domain", s.FailureDomain, "the failure domain's name", faults)
	switch s.Role {
	case RoleEntry:
		checkAddress("caller_address", s.CallerAddress, faults)
	case RoleControl:
		checkAddress("peer_address", s.PeerAddress, faults)
		checkAddress("operator_address", s.OperatorAddress, faults)
		checkRequired("data_folder", s.DataFolder, "the folder for durable state", faults)
	default:
		faults.Add("role", `must be "entry" or "control"`)
	}
	if s.MaxConnections < 0 {
		faults.Add("max_connections", "must be 1 or more connections, or absent")
	}
	if s.MemoryMB < 0 {
		faults.Add("memory_mb", "must be 1 or more megabytes, or absent")
	}
	if s.MemoryMB != 0 && s.Seeded != nil {
		faults.Add("memory_mb", "has no effect beside seeded: write seeded.memory_mb")
	}
	if s.Seeded != nil {
		s.Seeded.validate(faults)
	} else {
		s.validateControls(faults)
	}
	s.validateOperators(faults)
	s.validateDeposits(faults)
	s.validateAddresses(faults)
	if s.PeerSecret != nil {
		s.PeerSecret.validate("peer_secret", faults)
	}
	if s.Platform != nil {
		checkAddress("platform.address", s.Platform.Address, faults)
	}
	checkOneOf("log.level", s.Log.Level, faults, "debug", "info", "warn", "error")
	checkOneOf("log.format", s.Log.Format, faults, "text", "json")
	if s.Trace.OTLPAddress != "" {
		checkAddress("trace.otlp_address", s.Trace.OTLPAddress, faults)
	}
	faults.Positive("shutdown.limit", s.Shutdown.Limit)
	faults.Positive("shutdown.lag", s.Shutdown.Lag)
}

func (s *Settings) validateControls(faults *check.Faults) {
	if len(s.Controls) == 0 {
		faults.Add("controls", "is missing: list the control instances")
	}
	ids := make(map[string]string)
	addresses := make(map[string]string)
	for i, control := range s.Controls {
		path := fmt.Sprintf("controls[%d]", i)
		checkRequired(path+".instance_id", control.InstanceID, "the control instance's id", faults)
		checkRequired(path+".failure_domain", control.FailureDomain, "the failure domain's name", faults)
		checkAddress(path+".peer_address", control.PeerAddress, faults)
		checkUnique(path+".instance_id", control.InstanceID, ids, faults)
		checkUnique(path+".peer_address", control.PeerAddress, addresses, faults)
	}
	_, listed := ids[s.InstanceID]
	if s.Role == RoleEntry && listed {
		faults.Add("instance_id", "is also the id of a control instance: choose another")
	}
}

func (s *Settings) validateOperators(faults *check.Faults) {
	names := make(map[string]string)
	for i, operator := range s.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		checkRequired(path+".name", operator.Name, "the operator's name", faults)
		checkUnique(path+".name", operator.Name, names, faults)
		operator.Key.validate(path+".key", faults)
	}
}

func (s *Settings) validateDeposits(faults *check.Faults) {
	ids := make(map[string]string)
	for i, deposit := range s.Deposits {
		path := fmt.Sprintf("deposits[%d]", i)
		checkRequired(path+".id", deposit.ID, "an id that makes a resend harmless", faults)
		checkRequired(path+".workspace", deposit.Workspace, "the workspace's name", faults)
		checkUnique(path+".id", deposit.ID, ids, faults)
		if deposit.Tokens <= 0 {
			faults.Add(path+".tokens", "must be above zero")
		}
	}
}

// validateAddresses adds faults for listeners of the process that use the same
// address, for optional addresses that are not valid and for the log rate.
func (s *Settings) validateAddresses(faults *check.Faults) {
	used := make(map[string]string)
	checkUnique("caller_address", s.CallerAddress, used, faults)
	checkUnique("operator_address", s.OperatorAddress, used, faults)
	checkUnique("peer_address", s.PeerAddress, used, faults)
	checkUnique("peer_bind_address", s.PeerBindAddress, used, faults)
	if s.PeerBindAddress != "" {
		checkAddress("peer_bind_address", s.PeerBindAddress, faults)
	}
	checkUnique("status_address", s.StatusAddress, used, faults)
	checkUnique("metrics_address", s.MetricsAddress, used, faults)
	if s.StatusAddress != "" {
		checkAddress("status_address", s.StatusAddress, faults)
	}
	if s.MetricsAddress != "" {
		checkAddress("metrics_address", s.MetricsAddress, faults)
	}
	if s.Log.LinesPerSecond < 0 {
		faults.Add("log.lines_per_second", "must be 1 or more: remove it for the default")
	}
}

func (s *Secret) validate(path string, faults *check.Faults) {
	if (s.File == "") == (s.Environment == "") {
		faults.Add(path, `must name either a "file" or an "environment" variable that holds the secret`)
	}
}

// checkRequired adds a fault if value is empty. what names the value to write.
func checkRequired(path, value, what string, faults *check.Faults) {
	if value == "" {
		faults.Add(path, "is missing: write %s", what)
	}
}

// checkUnique adds a fault if value is already in seen, which maps values to the
// path of their first use. Empty values are ignored.
func checkUnique(path, value string, seen map[string]string, faults *check.Faults) {
	if value == "" {
		return
	}
	firstPath, taken := seen[value]
	if taken {
		faults.Add(path, "is the same as %s: choose another", firstPath)
		return
	}
	seen[value] = path
}

// checkOneOf adds a fault if value is neither empty nor allowed.
func checkOneOf(path, value string, faults *check.Faults, allowed ...string) {
	if value == "" {
		return
	}
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	faults.Add(path, "must be one of %q", allowed)
}
