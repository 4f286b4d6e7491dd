package ledger

// Bill is the bill of a settled request.
type Bill struct {
	Workspace string
	Key       string
	Attempt   string
	Tokens    int64
}

// Bills returns the bills that the ledger holds, without the voided ones, in no
// particular order.
func (l *Ledger) Bills() []Bill {
	l.mu.Lock()
	defer l.mu.Unlock()
	var bills []Bill
	for id, record := range l.state.records {
		if record.state != stateSettled {
			continue
		}
		bills = append(bills, Bill{Workspace: id.workspace, Key: id.key, Attempt: record.reserve.Attempt, Tokens: record.billed})
	}
	return bills
}
