package group

// maxCountedAccounts bounds the accounts that Totals sums up, because it holds the
// group's lock meanwhile.
const maxCountedAccounts = 20_000

// Totals sums up the budgets of all workspaces, in tokens.
type Totals struct {
	// Pool is in no grant. Granted is unspent in the grants of open epochs, and
	// InDoubt in those of ended ones, where it counts as spent.
	Pool    int64
	Granted int64
	InDoubt int64
}

// Totals returns the sums over all budgets, or false if there are too many to sum up.
func (g *Group) Totals() (Totals, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.state.Accounts) > maxCountedAccounts {
		return Totals{}, false
	}
	var totals Totals
	for _, account := range g.state.Accounts {
		totals.Pool += account.Pool
		totals.InDoubt += account.InDoubt()
		for _, grant := range account.Grants {
			if !grant.Closed {
				totals.Granted += grant.Unspent()
			}
		}
	}
	return totals, true
}
