package forward

import (
	"bytes"
	"slices"
)

// eventStreamType is the media type of streams of server-sent events.
const eventStreamType = "text/event-stream"

// knownFields are the fields of a server-sent event; readers ignore others.
var knownFields = []string{"data", "event", "id", "retry"}

// eventFields tells what the lines of a server-sent event hold.
type eventFields struct {
	// data is set if the event carries data, so that readers get an event at all.
	data bool
	// malformed is set if a line is neither a field nor a comment, or if the lines hold
	// no field that readers know.
	malformed bool
}

// fieldsOf returns what the lines of an event hold.
func fieldsOf(event []byte) eventFields {
	fields := eventFields{}
	known, lines := false, 0
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		lines++
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.ContainsFunc(name, isOutsideName) {
			return eventFields{malformed: true}
		}
		known = known || len(name) == 0 || slices.Contains(knownFields, string(name))
		fields.data = fields.data || string(name) == "data"
	}
	fields.malformed = !known && lines > 0
	return fields
}

// isOutsideName reports whether a rune can't be part of a field's name.
func isOutsideName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && r != '-' && r != '_' && r != '.'
}
