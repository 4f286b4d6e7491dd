package process

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/gossip"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quorum"
)

// meterInterval is the time between two updates of the gauges, and budgetInterval
// between two sums over all budgets.
const (
	meterInterval  = time.Second
	budgetInterval = 10 * time.Second
)

// meter updates the gauges of an instance in the background.
type meter struct {
	scope  tally.Scope
	update func(m *meter)
	// counted holds the totals that counters were increased to.
	counted map[string]int64
	// budgetsAt is when the budgets were last summed up.
	budgetsAt time.Time

	stop context.CancelFunc
	done chan struct{}
}

// startMeter calls update now and then once per meterInterval until close is called.
func startMeter(scope tally.Scope, update func(m *meter)) *meter {
	ctx, cancel := context.WithCancel(context.Background())
	m := &meter{scope: scope, update: update, counted: make(map[string]int64), stop: cancel, done: make(chan struct{})}
	go m.run(ctx)
	return m
}

func (m *meter) run(ctx context.Context) {
	defer close(m.done)
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	for {
		m.update(m)
		select {
		case at := <-ticker.C:
			m.scope.Timer("scheduling_delay").Record(time.Since(at))
		case <-ctx.Done():
			return
		}
	}
}

func (m *meter) close() {
	m.stop()
	<-m.done
}

// set sets a gauge.
func (m *meter) set(name string, value float64) {
	m.scope.Gauge(name).Update(value)
}

// setAge sets a gauge to an age in seconds; negative ages mean that nothing is known.
func (m *meter) setAge(name string, age time.Duration) {
	m.set(name, max(-1, age.Seconds()))
}

// countTo increases a counter to total.
func (m *meter) countTo(name string, total int64) {
	m.scope.Counter(name).Inc(total - m.counted[name])
	m.counted[name] = total
}

// setServers sets the gauges of the backend servers by state.
func (m *meter) setServers(ready, leaving, evacuated, ejected int) {
	for state, count := range map[string]int{"ready": ready, "leaving": leaving, "evacuated": evacuated, "ejected": ejected} {
		m.scope.Tagged(map[string]string{"state": state}).Gauge("backend_servers").Update(float64(count))
	}
}

// setFleet sets the gauges of a seeded site's backend servers.
func (m *meter) setFleet(counts place.Counts) {
	m.setServers(counts.Ready, counts.Leaving, counts.Evacuated, counts.Ejected)
	m.set("failure_domains_evacuated", float64(counts.EvacuatedDomains))
	m.set("attempts_in_progress", float64(counts.InFlight))
	m.set("backend_servers_limited", float64(counts.Limited))
	m.set("backend_servers_cold", float64(counts.Cold))
	m.set("backend_servers_unconfirmed", float64(counts.Unconfirmed))
	m.set("upstreams_out_of_reach", float64(counts.CutOff))
	m.set("prefill_backlog_seconds", max(0, counts.Backlog.Seconds()))
	m.set("upstreams_placed_adaptively", float64(counts.Adaptive.Upstreams))
	m.setAge("load_report_age_seconds", counts.Adaptive.ReportAge)
	m.set("engine_speed_spread", counts.Adaptive.SpeedSpread)
}

// setPool sets the gauges of a listed site's backend servers.
func (m *meter) setPool(counts backend.Counts) {
	m.setServers(counts.Ready, counts.Leaving, counts.Evacuated, counts.Ejected)
	m.set("failure_domains_evacuated", float64(counts.EvacuatedDomains))
	m.set("attempts_in_progress", float64(counts.InFlight))
	m.set("requests_waiting", float64(counts.Waiting))
}

// setHolder sets the gauges of the tokens that an entry holds.
func (m *meter) setHolder(totals escrow.Totals) {
	m.set("tokens_available", float64(totals.Available))
	m.set("tokens_reserved", float64(totals.Reserved))
	m.set("tokens_waited_for", float64(totals.Waiting))
	m.setAge("token_exchange_age_seconds", totals.ExchangeAge)
	m.countTo("tokens_drawn", totals.Drawn)
	m.countTo("tokens_returned", totals.Returned)
	m.countTo("tokens_spent", totals.Spent)
	m.countTo("tokens_lent", totals.Lent)
	m.countTo("tokens_borrowed", totals.Borrowed)
	m.countTo("token_loan_rounds", totals.LoanRounds)
	m.countTo("token_loan_rounds_failed", totals.FailedLoanRounds)
}

// setWatcher sets the gauges of the configuration in force at an entry.
func (m *meter) setWatcher(watcher *group.Watcher) {
	active := watcher.Active()
	m.set("configuration_version", float64(active.Number))
	m.setAge("control_contact_age_seconds", watcher.ContactAge())
}

// setOverload sets the gauges of admission control; they are 0 if there is none.
func (m *meter) setOverload(controller *overload.Controller) {
	var status overload.Status
	if controller != nil {
		status = controller.Status(time.Now())
	}
	delay := status.Delay
	if controller != nil && !status.Known {
		delay = -time.Second
	}
	m.setAge("queueing_delay_seconds", delay)
	m.set("queueing_delay_target_seconds", status.Target.Seconds())
	m.set("shedding_level", status.Level)
	m.set("peers_with_room", status.Room)
}

// setDiversion sets the gauges of the decision to divert; they are 0 if the entry never does.
func (m *meter) setDiversion(diverter *overload.Diverter) {
	var state overload.Diversion
	if diverter != nil {
		state = diverter.Status()
	}
	m.set("diverting", indicator(state.Diverting))
	m.set("peers_diverting", state.PeersDiverting)
	for direction, utilization := range map[string]float64{"received": state.Utilization.Received, "sent": state.Utilization.Sent} {
		m.scope.Tagged(map[string]string{"direction": direction}).Gauge("link_utilization").Update(utilization)
	}
}

// setAccepts sets the gauge and the counters of the times in which connections are refused.
func (m *meter) setAccepts(accepts *acceptLoop) {
	refusing, pauses, pausedTime := false, int64(0), int64(0)
	if accepts != nil {
		refusing, pauses, pausedTime = accepts.isRefusing.Load(), accepts.pauses.Load(), accepts.pausedTime.Load()
	}
	m.set("refusing_connections", indicator(refusing))
	m.countTo("accept_pauses", pauses)
	m.countTo("accept_pause_milliseconds", time.Duration(pausedTime).Milliseconds())
}

// setReady sets, for each reason why an entry may report not ready to the load balancer,
// whether it applies.
func (m *meter) setReady(configured, shuttingDown, diverting, notListening bool) {
	for reason, applies := range map[string]bool{"no_configuration": !configured, "shutting_down": shuttingDown, "diverting": diverting, "not_listening": notListening} {
		m.scope.Tagged(map[string]string{"reason": reason}).Gauge("not_ready").Update(indicator(applies))
	}
}

// indicator returns the value of a gauge that is 1 while a condition holds.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// setConnections sets the gauges of the open connections, and counts what callers do beyond the
// limits.
func (m *meter) setConnections(groups ...*connectionGroup) {
	open, limit := 0, 0
	var counts [excessCount]int64
	for _, group := range groups {
		open += group.count()
		limit += group.max
		for kind := range counts {
			counts[kind] += group.excess.counts[kind].Load()
		}
	}
	m.set("connections_open", float64(open))
	m.set("connection_limit", float64(limit))
	for kind, name := range excessNames {
		m.countTo(name, counts[kind])
	}
}

// setServerBytes sets the gauges of the most bytes at one server; they are 0 without a bound.
func (m *meter) setServerBytes(highest, limit int64) {
	if limit == 0 {
		highest = 0
	}
	m.set("server_body_bytes_highest", float64(highest))
	m.set("server_body_bytes_limit", float64(limit))
}

// setMemory sets the gauges of the bodies that the entry holds; they are 0 if they have no
// bounds.
func (m *meter) setMemory(account *memory.Account) {
	var bounds memory.Bounds
	if account != nil {
		bounds = account.Bounds
	}
	held := account.Held()
	m.set("body_bytes_held", float64(held.Total))
	m.set("request_body_bytes_held", float64(held.Requests))
	m.countTo("bodies_given_way", held.GivenWay)
	m.set("responses_waiting_for_memory", float64(held.Waiting))
	m.set("caller_body_bytes_highest", float64(held.Caller))
	m.set("caller_body_bytes_limit", float64(held.CallerLimit))
	m.set("body_bytes_limit", float64(bounds.Total))
	m.set("request_body_bytes_limit", float64(bounds.Requests))
}

// countDatagrams sets the counters of the datagrams between entries.
func (m *meter) countDatagrams(counts gossip.Counts) {
	m.countTo("datagrams_sent", counts.Sent)
	m.countTo("datagrams_received", counts.Received)
	m.countTo("datagrams_dropped", counts.Dropped)
	m.countTo("load_datagrams_sent", counts.LoadsSent)
	m.countTo("load_datagrams_received", counts.LoadsReceived)
}

// setQuorum sets the gauges of a member of the control group.
func (m *meter) setQuorum(status quorum.Status) {
	leads := 0.0
	if status.Role == "leader" {
		leads = 1
	}
	learners := 0
	for _, member := range status.Members {
		if member.Learner {
			learners++
		}
	}
	m.set("quorum_leader", leads)
	m.set("quorum_term", float64(status.Term))
	m.set("quorum_committed", float64(status.Committed))
	m.set("quorum_applied", float64(status.Applied))
	m.set("quorum_leader_contact_seconds", status.LeaderContactAge)
	m.set("quorum_voters", float64(len(status.Members)-learners))
	m.set("quorum_learners", float64(learners))
}

// setGroup sets the gauges of the state that the control group replicates.
func (m *meter) setGroup(g *group.Group) {
	version, _ := g.Current()
	m.set("configuration_version", float64(version.Number))
	if time.Since(m.budgetsAt) < budgetInterval {
		return
	}
	m.budgetsAt = time.Now()
	totals, counted := g.Totals()
	if !counted {
		return
	}
	m.set("tokens_pool", float64(totals.Pool))
	m.set("tokens_granted", float64(totals.Granted))
	m.set("tokens_in_doubt", float64(totals.InDoubt))
}
