package quorum

import (
	"fmt"
	"testing"
	"testing/synctest"
)

func TestCommitsAtEveryMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.close()
		var accepted []string
		for i := range 30 {
			command := fmt.Sprint("c", i)
			c.mustPropose(fmt.Sprint(i%3+1), command)
			accepted = append(accepted, command)
		}
		c.settle(accepted)
	})
}
