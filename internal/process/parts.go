// Package process wires the parts of each role into one process with dig.
package process

// parts closes what was opened in reverse order; its zero value works.
type parts struct {
	closers []func()
}

func (p *parts) add(closer func()) {
	p.closers = append(p.closers, closer)
}

func (p *parts) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
	p.closers = nil
}
