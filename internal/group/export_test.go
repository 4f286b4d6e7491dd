package group

import "context"

// NewWithTotals returns a group whose workspaces have the given totals.
func NewWithTotals(totals map[string]int64) *Group {
	g := New(nil)
	g.state.setBudgets(totals, nil)
	return g
}

// ServeExchange serves an exchange as a control instance does.
func (g *Group) ServeExchange(ctx context.Context, log Log, request *Exchange) (*Result, error) {
	return g.serveExchange(ctx, log, request)
}
