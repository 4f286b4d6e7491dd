// Package process wires the parts of each role into one process with dig.
package process

// closers closes what was opened in reverse order; its zero value works.
type closers struct {
	functions []func()
}

func (p *closers) add(closer func()) {
	p.functions = append(p.functions, closer)
}

func (p *closers) close() {
	for i := len(p.functions) - 1; i >= 0; i-- {
		p.functions[i]()
	}
	p.functions = nil
}
