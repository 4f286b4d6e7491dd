package instances

import (
	"strings"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxReasonBytes bounds the reason for which an item was skipped, which may quote it.
	maxReasonBytes = 200
	// skippedLogInterval is the minimum time between two lines on skipped items.
	skippedLogInterval = 10 * time.Second
)

// Skipped counts items of a list that were skipped and describes the first of them. Its zero
// value has none.
type Skipped struct {
	Count int
	// ID is empty if it can't be read.
	ID     string
	Reason string
}

// Add counts an item.
func (s *Skipped) Add(id string, reason error) {
	if s.Count == 0 {
		text := reason.Error()
		s.ID = id
		s.Reason = strings.ToValidUTF8(text[:min(len(text), maxReasonBytes)], "")
	}
	s.Count++
}

// skippedLog logs changes of the skipped items. Its zero value has logged none.
type skippedLog struct {
	logged Skipped
	at     time.Time
}

// report logs the skipped items of a reading unless they were logged already, or others were
// shortly before.
func (l *skippedLog) report(log *log.Logger, skipped Skipped) {
	if skipped == l.logged || time.Since(l.at) < skippedLogInterval {
		return
	}
	l.logged = skipped
	if skipped.Count == 0 {
		return
	}
	l.at = time.Now()
	log.Warn("items of the list of instances name no server", "items", skipped.Count, "first_id", skipped.ID, "first_reason", skipped.Reason)
}
