package settings

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/check"
)

// Kinds of work in a load run.
const (
	LoadKindModel   = "model"
	LoadKindService = "service"
)

// LoadRun holds the settings of a load run.
type LoadRun struct {
	// Seed determines every request and the time at which it is sent.
	Seed uint64 `json:"seed,omitempty"`
	// Rate is the number of requests per second. They are sent at this rate
	// whether or not responses arrive.
	Rate     float64         `json:"rate"`
	Duration *check.Duration `json:"duration"`
	// MaxRequests is the maximum number of requests within Duration.
	MaxRequests int `json:"max_requests"`
	// Retries is the maximum number of retries of a request that is refused with a
	// response that names a delay.
	Retries int        `json:"retries,omitempty"`
	Callers []Caller   `json:"callers"`
	Works   []LoadWork `json:"works"`
}

// Caller is a workspace whose key a load run uses.
type Caller struct {
	Workspace string `json:"workspace"`
	Key       Secret `json:"key"`
}

// LoadWork is one kind of request in the mix of a load run.
type LoadWork struct {
	Name string `json:"name"`
	// Kind is LoadKindModel or LoadKindService.
	Kind string `json:"kind"`
	// Route is the public name of the model or service.
	Route string `json:"route"`
	// Share is the weight of the work among all works of the run.
	Share float64 `json:"share"`
	// Deadline is the time after the start of a request at which its complete
	// response counts as late.
	Deadline *check.Duration `json:"deadline"`
	// PromptWords is the length of a prompt in words. Its first PrefixWords words
	// are one of Prefixes texts that the requests share.
	PromptWords int   `json:"prompt_words,omitempty"`
	PrefixWords int   `json:"prefix_words,omitempty"`
	Prefixes    int   `json:"prefixes,omitempty"`
	MaxTokens   int64 `json:"max_tokens,omitempty"`
	// Path is the path that is requested from a plain service.
	Path string `json:"path,omitempty"`
	// Once marks requests that must not be executed more than once.
	Once bool `json:"once,omitempty"`
}

// ReadLoadRun reads and validates the settings file of a load run. Its error
// lists all faults. Relative paths of key files are resolved against the folder of
// the settings file.
func ReadLoadRun(path string) (*LoadRun, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}
	faults := &check.Faults{}
	l := &LoadRun{}
	check.Decode(data, l, faults)
	l.validate(faults)
	err = faults.Err()
	if err != nil {
		return nil, errors.Newf("settings %s are not valid:\n%w", path, err)
	}
	for i := range l.Callers {
		l.Callers[i].Key.File = resolvePath(filepath.Dir(path), l.Callers[i].Key.File)
	}
	return l, nil
}

func (l *LoadRun) validate(faults *check.Faults) {
	if l.Rate <= 0 {
		faults.Add("rate", "must be above zero requests a second")
	}
	if l.MaxRequests <= 0 {
		faults.Add("max_requests", "must be 1 or more")
	}
	if l.Retries < 0 {
		faults.Add("retries", "must be 0 or more")
	}
	if l.Duration == nil {
		faults.Add("duration", `is missing: write one such as "30s"`)
	}
	faults.Positive("duration", l.Duration)
	if len(l.Callers) == 0 {
		faults.Add("callers", "is missing: list workspaces and their keys")
	}
	for i, caller := range l.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		checkRequired(path+".workspace", caller.Workspace, "the workspace's name", faults)
		caller.Key.validate(path+".key", faults)
	}
	if len(l.Works) == 0 {
		faults.Add("works", "is missing: list the works of the mix")
	}
	for i := range l.Works {
		l.Works[i].validate(fmt.Sprintf("works[%d]", i), faults)
	}
}

func (w *LoadWork) validate(path string, faults *check.Faults) {
	checkRequired(path+".name", w.Name, "the work's name", faults)
	checkRequired(path+".route", w.Route, "the public name that callers use", faults)
	if w.Kind != LoadKindModel && w.Kind != LoadKindService {
		faults.Add(path+".kind", "must be one of %q", []string{LoadKindModel, LoadKindService})
	}
	if w.Share <= 0 {
		faults.Add(path+".share", "must be above zero")
	}
	if w.Deadline == nil {
		faults.Add(path+".deadline", `is missing: write one such as "4s"`)
	}
	faults.Positive(path+".deadline", w.Deadline)
	if w.PromptWords < 0 || w.PrefixWords < 0 || w.Prefixes < 0 || w.MaxTokens < 0 {
		faults.Add(path, "must hold no numbers below zero")
	}
}
