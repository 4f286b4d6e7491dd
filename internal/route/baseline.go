package route

// RoundRobin is a baseline: each server with room in turn.
type RoundRobin struct {
	next int
}

// Random is a baseline: any server with room.
type Random struct{}

// LeastReported is a baseline: the server with room that last reported the
// least load.
type LeastReported struct{}

func (*RoundRobin) isPolicy()   {}
func (Random) isPolicy()        {}
func (LeastReported) isPolicy() {}

// hasRoom is how baselines, which don't correct lagging reports, see a server:
// by its last report and by the own requests in progress.
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
