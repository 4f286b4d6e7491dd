package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"
)

const reloadPollInterval = time.Second

// Reloader watches a settings file. It checks the file for changes periodically
// and on each signal, and ignores changed settings that are not valid.
type Reloader struct {
	Path string
	// Signals triggers an immediate check of the file; nil means that there are
	// no signals.
	Signals <-chan os.Signal
	Log     *log.Logger

	changed  chan *Settings
	lastData []byte
	done     chan struct{}
}

// Start watches the file until ctx ends. The returned channel receives the
// settings after each valid change.
func (r *Reloader) Start(ctx context.Context) <-chan *Settings {
	r.changed = make(chan *Settings, 1)
	r.done = make(chan struct{})
	data, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.Warn("cannot read the settings file; keeping the current settings", "err", err.Error())
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
			r.Log.Info("signal received; checking the settings file for changes")
			r.reloadIfChanged(ctx)
		case <-ticker.C:
			r.reloadIfChanged(ctx)
		}
	}
}

// reloadIfChanged sends the settings to the channel if the file has changed since
// the last read and is valid.
func (r *Reloader) reloadIfChanged(ctx context.Context) {
	data, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.Warn("cannot read the settings file; keeping the current settings", "err", err.Error())
		return
	}
	if bytes.Equal(data, r.lastData) {
		return
	}
	r.lastData = data
	s, err := Parse(data)
	if err != nil {
		r.Log.Error("changed settings are not valid; keeping the current settings", "err", err.Error())
		return
	}
	r.Log.Info("settings reloaded")
	select {
	case r.changed <- s:
	case <-ctx.Done():
	}
}
