// Package statechart interprets the state charts in charts/*.json.
package statechart

import (
	"embed"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

//go:embed charts/*.json
var chartFiles embed.FS

// ErrNoTransition reports an event that the chart lacks in the present state.
var ErrNoTransition = errors.New("the state chart has no such transition")

// State names a state of a chart.
type State string

// Event names what moves a part from one state to the next.
type Event string

// Chart is a set of states and the transitions between them.
type Chart struct {
	Name        string
	Initial     State
	transitions map[transitionKey]State
}

type transitionKey struct {
	from  State
	event Event
}

type chartFile struct {
	Name        string           `json:"name"`
	Initial     State            `json:"initial"`
	States      []State          `json:"states"`
	Transitions []transitionFile `json:"transitions"`
}

type transitionFile struct {
	From  State `json:"from"`
	Event Event `json:"event"`
	To    State `json:"to"`
}

// Load reads the chart charts/NAME.json.
func Load(name string) (*Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, errors.Newf("read chart %s: %w", name, err)
	}
	return Parse(data)
}

// MustLoad is Load for charts that are part of the program.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse reads a chart and checks that its transitions name known states and
// that no event leads to two states.
func Parse(data []byte) (*Chart, error) {
	var file chartFile
	err := json.Unmarshal(data, &file)
	if err != nil {
		return nil, errors.Newf("decode chart: %w", err)
	}
	known := make(map[State]bool)
	for _, state := range file.States {
		known[state] = true
	}
	if !known[file.Initial] {
		return nil, errors.Newf("chart %s: initial state %q is not listed", file.Name, file.Initial)
	}
	chart := &Chart{Name: file.Name, Initial: file.Initial, transitions: make(map[transitionKey]State)}
	for _, transition := range file.Transitions {
		if !known[transition.From] || !known[transition.To] {
			return nil, errors.Newf("chart %s: transition %q names an unlisted state", file.Name, transition.Event)
		}
		key := transitionKey{from: transition.From, event: transition.Event}
		_, duplicate := chart.transitions[key]
		if duplicate {
			return nil, errors.Newf("chart %s: %q in %q leads to two states", file.Name, transition.Event, transition.From)
		}
		chart.transitions[key] = transition.To
	}
	return chart, nil
}

// Next returns the state after event, or an error that wraps ErrNoTransition.
// The empty state stands for the initial one.
func (c *Chart) Next(from State, event Event) (State, error) {
	if from == "" {
		from = c.Initial
	}
	to, ok := c.transitions[transitionKey{from: from, event: event}]
	if !ok {
		return from, errors.Newf("%s: %s in state %s: %w", c.Name, event, from, ErrNoTransition)
	}
	return to, nil
}
