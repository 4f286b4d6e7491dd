package gossip

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

func TestMessageIsReadBack(t *testing.T) {
	m := message{server: "i-7f3a", work: 123456 * time.Microsecond, parts: []place.PrefixSegment{{ID: 5}, {ID: 1 << 60}}}
	got, err := decode(m.append(nil))
	if err != nil || got.server != m.server || got.work != m.work || len(got.parts) != 2 || got.parts[1].ID != 1<<60 {
		t.Errorf("%+v, %v", got, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(message{server: "i", work: time.Second, parts: []place.PrefixSegment{{ID: 9}}}.append(nil))
	f.Add([]byte{formatPrompt})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		again, err := decode(m.append(nil))
		if err != nil || again.server != m.server || again.work != m.work || len(again.parts) != len(m.parts) {
			t.Errorf("%+v became %+v, %v", m, again, err)
		}
	})
}
