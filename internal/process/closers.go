// Package process assembles the entry instances, the control instances and the
// development site from their components, starts their listeners and shuts them
// down.
package process

// closers holds the functions that release the components of a process. Its zero
// value is ready to use.
type closers struct {
	functions []func()
}

func (p *closers) add(closer func()) {
	p.functions = append(p.functions, closer)
}

// close calls the functions in the reverse order of add.
func (p *closers) close() {
	for i := len(p.functions) - 1; i >= 0; i-- {
		p.functions[i]()
	}
	p.functions = nil
}
