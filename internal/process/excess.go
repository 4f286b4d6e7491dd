package process

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// excess is what callers do beyond a limit.
type excess int

const (
	// connectionClosed is a connection that was closed for want of room.
	connectionClosed excess = iota
	// headerTooLong is a header over the limit, and headerLate one that was not complete in
	// time.
	headerTooLong
	headerLate
	// bodyRefused is a request refused for want of memory for its body or its header, or
	// because its body is encoded, and bodyLate a body that was not complete in time.
	bodyRefused
	bodyLate
	excessCount
)

// excessNames are the names of the counters and of the fields of the log line.
var excessNames = [excessCount]string{"connections_closed_for_room", "headers_too_long", "headers_late", "bodies_refused", "bodies_late"}

// excessLogInterval is the least time between two log lines.
const excessLogInterval = time.Second

// excessCounter counts what callers do beyond the limits, and logs it. Its zero value counts only.
type excessCounter struct {
	// log gets a line, at most one each excessLogInterval, with address, which names the
	// listeners; nil gets none.
	log     *log.Logger
	address string

	counts [excessCount]atomic.Int64

	mu sync.Mutex
	// loggedAt is the time of the last line, and logged the counts then.
	loggedAt time.Time
	logged   [excessCount]int64
}

// record counts an excess and logs those since the last line.
func (e *excessCounter) record(kind excess, count int) {
	e.counts[kind].Add(int64(count))
	if e.log == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.loggedAt) < excessLogInterval {
		return
	}
	e.loggedAt = now
	fields := []any{"address", e.address}
	for kind, name := range excessNames {
		total := e.counts[kind].Load()
		fields = append(fields, name, total-e.logged[kind])
		e.logged[kind] = total
	}
	e.log.Warn("callers beyond the limits", fields...)
}
