package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// Times of the case retired.
const (
	// catchUp is the bound catch-up-s, with a margin.
	catchUp    = 5 * time.Second
	freezeTime = 4 * time.Second
	// seedLag is the bound seed-lag-s.
	seedLag = 3 * time.Second
	// successorDelay is the time from the loss of a machine to the start of its successor.
	successorDelay = time.Second
	retiredWait    = 20 * time.Second
	// readTime is how long the operator reads back, more than contact-ms.
	readTime = 6 * time.Second
)

// playRetired replaces two machines of the core by empty ones at other addresses, one after
// the other and each with time to catch up: the first as planned work, the second after its
// loss. While the first successor runs beside the machine that it replaces, a third machine
// freezes and wakes again. At most one machine is lost at any time.
func playRetired(s *site, trouble bool) (string, error) {
	for number := range 3 {
		_, err := s.newServer(plainService, number)
		if err != nil {
			return "", err
		}
	}
	err := s.startAll(2)
	if err != nil {
		return "", err
	}
	acknowledged, _ := s.put(configuration(7, 1_000_000), 20*time.Second)
	if !acknowledged {
		return "", fmt.Errorf("the first configuration was not acknowledged")
	}
	err = s.waitReady(0, 10*time.Second)
	if err != nil {
		return "", err
	}
	s.log("planned work: %s replaces %s, the new one first", controlName(3), controlName(0))
	err = s.startControl(3, false)
	if err != nil {
		return "", err
	}
	time.Sleep(catchUp)
	if trouble {
		s.signal(controlName(2), syscall.SIGSTOP)
		time.Sleep(freezeTime)
		s.signal(controlName(2), syscall.SIGCONT)
	} else {
		time.Sleep(freezeTime)
	}
	time.Sleep(catchUp)
	s.signal(controlName(0), syscall.SIGTERM)
	<-s.processes[controlName(0)].exited
	err = s.reseed(1, 2, 3)
	if err != nil {
		return "", err
	}
	time.Sleep(catchUp)
	acknowledged, _ = s.put(configuration(9, 1_000_000), 10*time.Second)
	s.log("with %s, %s and %s running, version 9 is acknowledged: %t", controlName(1), controlName(2), controlName(3), acknowledged)
	s.log("%s is lost for good; %s replaces it", controlName(1), controlName(4))
	s.kill(controlName(1))
	err = os.RemoveAll(s.dataFolder(1))
	if err != nil {
		return "", err
	}
	time.Sleep(successorDelay)
	err = s.startControl(4, false)
	if err != nil {
		return "", err
	}
	back := time.Now()
	time.Sleep(seedLag)
	err = s.reseed(2, 3, 4)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(back.Add(recoverTime)))
	s.operators = []int{2, 3, 4}
	acknowledged, tries := s.put(configuration(11, 1_000_000), retiredWait)
	read := s.readBack(readTime)
	s.log("read back: %d answers with a configuration", read)
	if read == 0 {
		return fmt.Sprintf("version 9 was acknowledged; %.0f s after all machines were back no node returns it, for %s; version 11, sent %d times, is acknowledged: %t", time.Since(back).Seconds(), readTime, tries, acknowledged), nil
	}
	return "", nil
}
