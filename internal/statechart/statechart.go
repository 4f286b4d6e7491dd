// Package statechart reads state charts and checks transitions against them. The
// charts of the program are embedded from charts/*.json.
package statechart

import (
	"embed"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

//go:embed charts/*.json
var chartFiles embed.FS

// ErrNoTransition reports an event for which the chart has no transition from the
// current state.
var ErrNoTransition = errors.New("the state chart has no such transition")

// State is the name of a state in a chart.
type State string

// Event is the name of an event that causes a transition.
type Event string

// Chart is a state machine: named states and the transitions between them.
type Chart struct {
	Name        string
	Initial     State
	transitions map[transitionKey]State
}

// transitionKey identifies a transition.
type transitionKey struct {
	from  State
	event Event
}

// chartFile is the JSON form of a chart.
type chartFile struct {
	Name        string           `json:"name"`
	Initial     State            `json:"initial"`
	States      []State          `json:"states"`
	Transitions []transitionFile `json:"transitions"`
}

// transitionFile is the JSON form of a transition.
type transitionFile struct {
	From  State `json:"from"`
	Event Event `json:"event"`
	To    State `json:"to"`
}

// Load reads the embedded chart charts/NAME.json.
func Load(name string) (*Chart, error) {
	data, err := chartFiles.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, errors.Newf("read chart %s: %w", name, err)
	}
	return Parse(data)
}

// MustLoad is like Load but panics if the chart cannot be read.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse decodes a chart from JSON. It returns an error if the initial state or a
// state of a transition is not listed, or if two transitions have the same event
// and the same original state.
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

// Next returns the state that event leads to. If the chart has no such transition,
// it returns from and an error that wraps ErrNoTransition. The empty state stands
// for the initial state.
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
