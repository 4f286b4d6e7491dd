package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cactusbay/cactusbay/internal/config"
)

// BenchmarkApply measures how long an instance takes to apply a patch of one
// backend server to documents of various sizes.
func BenchmarkApply(b *testing.B) {
	for _, servers := range []int{23, 1000, 12_000} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) {
			var list []string
			for i := range servers {
				list = append(list, fmt.Sprintf(`"server-%d":{"address":"10.%d.%d.1:7000","failure_domain":"a","kind":"model"}`, i, i/250, i%250))
			}
			document, err := config.MergeAll([]byte("{}"), [][]byte{[]byte(`{"backend_servers":{` + strings.Join(list, ",") + `}}`)})
			if err != nil {
				b.Fatal(err)
			}
			current, err := config.Encoded{JSON: document}.Apply(nil)
			if err != nil {
				b.Fatal(err)
			}
			patch := []byte(`{"backend_servers":{"server-7":{"concurrency":9}}}`)
			for b.Loop() {
				_, err = current.Apply([][]byte{patch})
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(document)), "document_B")
		})
	}
}
