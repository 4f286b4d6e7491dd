package overload

import "time"

// PacketOverhead is what each read and each write adds to its bytes, in both directions: the
// headers of Ethernet, IP and TCP, of the packet in one direction and of its acknowledgement
// in the other.
const PacketOverhead = 54

// Traffic is what an entry has received and sent over its link since it started, in bytes.
type Traffic struct {
	Received, Sent int64
}

// Utilization is the share of the bandwidth in use in each direction. It hardly exceeds 1, because
// bytes that wait in a queue are not counted.
type Utilization struct {
	Received, Sent float64
}

// Highest returns the utilization of the direction that is used more.
func (u Utilization) Highest() float64 {
	return max(u.Received, u.Sent)
}

// LinkMeter measures the utilization of a link as a moving average.
type LinkMeter struct {
	// BytesPerSecond is the bandwidth of the link in one direction.
	BytesPerSecond float64
	// TimeConstant is that of the moving average.
	TimeConstant time.Duration

	at      time.Time
	traffic Traffic
	average Utilization
}

// Update adds the traffic up to the given time and returns the utilization. The first call
// only sets the counters.
func (m *LinkMeter) Update(now time.Time, total Traffic) Utilization {
	elapsed := now.Sub(m.at)
	if m.at.IsZero() || elapsed <= 0 {
		if m.at.IsZero() {
			m.at, m.traffic = now, total
		}
		return m.average
	}
	// Not math.Exp, whose last bits differ between processors.
	weight := elapsed.Seconds() / (elapsed + m.TimeConstant).Seconds()
	capacity := m.BytesPerSecond * elapsed.Seconds()
	m.average.Received = blend(m.average.Received, float64(total.Received-m.traffic.Received)/capacity, weight)
	m.average.Sent = blend(m.average.Sent, float64(total.Sent-m.traffic.Sent)/capacity, weight)
	m.at, m.traffic = now, total
	return m.average
}

// blend returns the mean of old and latest with the given weight of latest. The conversions
// keep products from being fused with sums, so that results are equal on all processors.
func blend(old, latest, weight float64) float64 {
	return float64(old*(1-weight)) + float64(latest*weight)
}
