package settings

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/check"
)

// Fake configures one stand-in process.
type Fake struct {
	InstanceID    string `json:"instance_id"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	// StepTime is an engine's time between two tokens.
	StepTime *check.Duration `json:"step_time,omitempty"`
	// StepGrowth is what each further sequence of a batch adds to a step.
	StepGrowth *check.Duration `json:"step_growth,omitempty"`
	// PromptTime is an engine's time for a prompt token that is not cached.
	PromptTime *check.Duration `json:"prompt_time,omitempty"`
	// MaxBatch bounds the sequences that an engine runs at once.
	MaxBatch int `json:"max_batch,omitempty"`
	// CacheBlocks bounds an engine's prefix cache, in blocks of 16 tokens.
	CacheBlocks int `json:"cache_blocks,omitempty"`
	// KeptAttempts bounds the attempts that an engine remembers.
	KeptAttempts int `json:"kept_attempts,omitempty"`
	// KeepsRunning lets an engine go on when a connection breaks.
	KeepsRunning bool `json:"keeps_running,omitempty"`
	// LoadLag is how old an engine's load report is.
	LoadLag *check.Duration `json:"load_lag,omitempty"`
	// Lag is how old a platform's list is.
	Lag *check.Duration `json:"lag,omitempty"`
}

// LoadFake reads and checks a stand-in's settings file.
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
