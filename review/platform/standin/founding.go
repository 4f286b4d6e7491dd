package main

import (
	"fmt"
	"os"
	"time"
)

// Times of the case founding. All machines start within startSpread of each other.
const (
	startSpread = 300 * time.Millisecond
	lossAt      = 200 * time.Millisecond
	// foundingWait is how long the operator sends the first configuration after that.
	foundingWait = 40 * time.Second
)

// playFounding starts a deployment for the first time. In the first moments one machine of
// the core is lost for good, and an empty one comes at another address. The operator's first
// configuration must be acknowledged, and requests must be served, once all machines are there.
func playFounding(s *site, trouble bool) (string, error) {
	for number := range 3 {
		_, err := s.newServer(plainService, number)
		if err != nil {
			return "", err
		}
	}
	first := time.Now()
	err := s.startControl(2, true)
	if err != nil {
		return "", err
	}
	if trouble {
		time.Sleep(time.Until(first.Add(lossAt)))
		s.kill(controlName(2))
		err = os.RemoveAll(s.dataFolder(2))
		if err != nil {
			return "", err
		}
		s.log("%s is lost for good", controlName(2))
	}
	time.Sleep(time.Until(first.Add(startSpread - 20*time.Millisecond)))
	for number := range 2 {
		err = s.startControl(number, true)
		if err != nil {
			return "", err
		}
	}
	for number := range 2 {
		err = s.startEntry(number)
		if err != nil {
			return "", err
		}
	}
	if trouble {
		time.Sleep(time.Until(first.Add(lossAt + successorDelay)))
		err = s.startControl(3, false)
		if err != nil {
			return "", err
		}
		s.operators = []int{0, 1, 3}
		time.Sleep(seedLag)
		err = s.reseed(0, 1, 3)
		if err != nil {
			return "", err
		}
	}
	back := time.Now()
	s.log("all machines are there, and the settings name them as seeds")
	limit := touchTime + max(ackTime, recoverTime) + foundingWait
	acknowledged, tries := s.put(configuration(7, 1_000_000), limit)
	for _, number := range s.operators {
		if !s.isRunning(controlName(number)) {
			s.log("%s does not run", controlName(number))
		}
	}
	if !acknowledged {
		a := s.send(request{entry: 0, method: "GET", path: "/lookup/1", deadline: 2500 * time.Millisecond})
		return fmt.Sprintf("the first configuration, sent %d times to all three nodes, has no acknowledgement %.1f s after all machines were there; a request gets %d", tries, time.Since(back).Seconds(), a.status), nil
	}
	s.log("acknowledged %.1f s after all machines were there", time.Since(back).Seconds())
	err = s.waitReady(0, recoverTime)
	if err != nil {
		return "acknowledged, but " + err.Error(), nil
	}
	a := s.send(request{entry: 0, method: "GET", path: "/lookup/1", deadline: 2500 * time.Millisecond})
	if a.status != 200 {
		return fmt.Sprintf("acknowledged, but a request gets %d", a.status), nil
	}
	return "", nil
}
