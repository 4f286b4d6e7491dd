package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/check"
)

// Fake holds the settings of a process that runs a fake external system.
type Fake struct {
	InstanceID    string `json:"instance_id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// StepTime is the time that an engine takes between two tokens.
	StepTime *check.Duration `json:"step_time,omitempty"`
	// StepGrowth is the time that each sequence of a batch after the first adds
	// to StepTime.
	StepGrowth *check.Duration `json:"step_growth,omitempty"`
	// PromptTime is the time that an engine takes to process a prompt token that
	// is not cached.
	PromptTime *check.Duration `json:"prompt_time,omitempty"`
	// MaxBatch is the maximum number of sequences that an engine runs at once.
	MaxBatch int `json:"max_batch,omitempty"`
	// CacheBlocks is the size of an engine's prefix cache in blocks of 16 tokens.
	CacheBlocks int `json:"cache_blocks,omitempty"`
	// KeptAttempts is the maximum number of attempts that an engine remembers.
	KeptAttempts int `json:"kept_attempts,omitempty"`
	// KeepsRunning makes an engine continue a generation after its connection
	// breaks.
	KeepsRunning bool `json:"keeps_running,omitempty"`
	// LoadLag is the age of the load that an engine reports.
	LoadLag *check.Duration `json:"load_lag,omitempty"`
	// Lag is the age of the list of instances that a platform reports.
	Lag *check.Duration `json:"lag,omitempty"`
}

// LoadFake reads and validates the settings file of a fake. Its error lists all
// faults.
func LoadFake(path string) (*Fake, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}
	faults := &check.Faults{}
	f := &Fake{}
	check.Decode(data, f, faults)
	checkRequired("instance_id", f.InstanceID, "a name of its own for the stand-in", faults)
	checkAddress("address", f.Address, faults)
	faults.Positive("step_time", f.StepTime)
	faults.Positive("step_growth", f.StepGrowth)
	faults.Positive("prompt_time", f.PromptTime)
	faults.Positive("load_lag", f.LoadLag)
	faults.Positive("lag", f.Lag)
	if f.MaxBatch < 0 || f.CacheBlocks < 0 || f.KeptAttempts < 0 {
		faults.Add(".", "max_batch, cache_blocks and kept_attempts must be 1 or more: remove them for the defaults")
	}
	err = faults.Err()
	if err != nil {
		return nil, errors.Newf("settings %s are not valid:\n%w", path, err)
	}
	return f, nil
}
