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
	required("instance_id", f.InstanceID, "a name of its own for the stand-in", faults)
	checkAddress("address", f.Address, faults)
	faults.Positive("step_time", f.StepTime)
	faults.Positive("lag", f.Lag)
	err = faults.Err()
	if err != nil {
		return nil, errors.Newf("settings %s are not valid:\n%w", path, err)
	}
	return f, nil
}
