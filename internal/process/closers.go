// Package process assembles the entry instances, the control instances and the
// development site from their components, starts their listeners and shuts them
// down.
package process

// closers holds the functions that release the components of a process. Its zero
// value is ready to use.
type closers struct {
	functions []func()
}

func (c *closers) add(closer func()) {
	c.functions = append(c.functions, closer)
}

// close calls the functions in the reverse order of add.
func (c *closers) close() {
	for i := len(c.functions) - 1; i >= 0; i-- {
		c.functions[i]()
	}
	c.functions = nil
}
