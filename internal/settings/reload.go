package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"
)

const reloadPollInterval = time.Second

// Reloader reads a settings file again when a signal comes or when the file
// has changed without one. Settings that are not valid change nothing.
type Reloader struct {
	Path string
	// Signals brings requests to read the file; nil means none.
	Signals <-chan os.Signal
	Log     *log.Logger

	changed  chan *Settings
	lastData []byte
	done     chan struct{}
}

// Start begins to watch; the channel brings each valid change.
func (r *Reloader) Start(ctx context.Context) <-chan *Settings {
	r.changed = make(chan *Settings, 1)
	r.done = make(chan struct{})
	data, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.Warn("the settings file could not be read again", "err", err.Error())
	}
	r.lastData = data
	go r.run(ctx)
	return r.changed
}

func (r *Reloader) run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(reloadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
			r.Log.Info("settings are read again after a signal")
			r.reloadIfChanged(ctx)
		case <-ticker.C:
			r.reloadIfChanged(ctx)
		}
	}
}

func (r *Reloader) reloadIfChanged(ctx context.Context) {
	data, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.Warn("the settings file could not be read again", "err", err.Error())
		return
	}
	if bytes.Equal(data, r.lastData) {
		return
	}
	r.lastData = data
	s, err := Parse(data)
	if err != nil {
		r.Log.Error("changed settings are not valid; the old ones stay in force", "err", err.Error())
		return
	}
	r.Log.Info("settings reloaded")
	select {
	case r.changed <- s:
	case <-ctx.Done():
	}
}
