package gossip

import (
	"encoding/binary"
	"math"
	"time"
)

const listLength = 1 + 8 + 4

// listNote tells which list of backend servers an entry read. On the wire stand
// the format, the list's sum and the time since it was current, in
// milliseconds.
type listNote struct {
	sum uint64
	age time.Duration
}

func (n listNote) append(buffer []byte) []byte {
	buffer = append(buffer, formatList)
	buffer = binary.BigEndian.AppendUint64(buffer, n.sum)
	return binary.BigEndian.AppendUint32(buffer, uint32(min(max(0, n.age.Milliseconds()), math.MaxUint32)))
}

func decodeList(data []byte) (listNote, error) {
	if len(data) != listLength || data[0] != formatList {
		return listNote{}, errMessage
	}
	return listNote{
		sum: binary.BigEndian.Uint64(data[1:]),
		age: time.Duration(binary.BigEndian.Uint32(data[9:])) * time.Millisecond,
	}, nil
}

// TellList tells all other entries of a list that this one read.
func (s *Spreader) TellList(sum uint64, age time.Duration) {
	s.sendAll(listNote{sum: sum, age: age}.append(nil))
}
