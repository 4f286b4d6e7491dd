package route

// RoundRobin is a baseline policy: each server with room in turn. It keeps its
// position, so use one value per server list.
type RoundRobin struct {
	next int
}

// Random is a baseline policy: a uniformly random server with room.
type Random struct{}

// LeastReported is a baseline policy: the server with room whose last report
// shows the lowest load.
type LeastReported struct{}

func (*RoundRobin) isPolicy()   {}
func (Random) isPolicy()        {}
func (LeastReported) isPolicy() {}

// hasRoom reports whether a baseline policy may pick s. Baselines don't correct
// lagging load reports: the load is the larger of the last report and the
// entry's own requests in progress.
func hasRoom(s *Server, q *Query) bool {
	if !s.Usable(q.Now) || q.Tried[s.Name] {
		return false
	}
	return max(s.running, s.report.Running+s.report.Waiting) < s.Limit(q.Now)
}

func (r *RoundRobin) pick(servers []*Server, q *Query) *Server {
	for range servers {
		s := servers[r.next%len(servers)]
		r.next++
		if hasRoom(s, q) {
			return s
		}
	}
	return nil
}

// pickRandom chooses uniformly among the servers with room by reservoir
// sampling.
func pickRandom(servers []*Server, q *Query) *Server {
	withRoom := 0
	var picked *Server
	for _, s := range servers {
		if !hasRoom(s, q) {
			continue
		}
		withRoom++
		if random(q, withRoom) == 0 {
			picked = s
		}
	}
	return picked
}

func pickLeastReported(servers []*Server, q *Query) *Server {
	var best *Server
	for _, s := range servers {
		if !hasRoom(s, q) {
			continue
		}
		if best == nil || s.report.Running+s.report.Waiting < best.report.Running+best.report.Waiting {
			best = s
		}
	}
	return best
}
