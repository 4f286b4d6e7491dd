package gossip

import (
	"encoding/binary"
	"math"
	"time"
)

const listMessageLength = 1 + 8 + 4

// listMessage tells which list of backend servers an entry read. On the wire stand
// the format, the list's sum and the time since it was current, in
// milliseconds.
type listMessage struct {
	checksum uint64
	age      time.Duration
}

func (m listMessage) append(buffer []byte) []byte {
	buffer = append(buffer, formatList)
	buffer = binary.BigEndian.AppendUint64(buffer, m.checksum)
	return binary.BigEndian.AppendUint32(buffer, uint32(min(max(0, m.age.Milliseconds()), math.MaxUint32)))
}

func decodeList(data []byte) (listMessage, error) {
	if len(data) != listMessageLength || data[0] != formatList {
		return listMessage{}, errInvalidDatagram
	}
	return listMessage{
		checksum: binary.BigEndian.Uint64(data[1:]),
		age:      time.Duration(binary.BigEndian.Uint32(data[9:])) * time.Millisecond,
	}, nil
}

// AnnounceList tells all other entries of a list that this one read.
func (g *Gossiper) AnnounceList(checksum uint64, age time.Duration) {
	g.sendAll(listMessage{checksum: checksum, age: age}.append(nil))
}
