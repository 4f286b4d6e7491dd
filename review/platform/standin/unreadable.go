package main

import (
	"fmt"
	"time"
)

// Times of the case unreadable.
const (
	// drainTime is the bound drain-ms.
	drainTime = 3 * time.Second
	// lingerTime is how long a leaving server goes on after that.
	lingerTime   = 5 * time.Second
	requestPause = 40 * time.Millisecond
	requestTime  = 2500 * time.Millisecond
	// settleTime is how long requests are sent before anything changes.
	settleTime = 5 * time.Second
	// newFirstTime is how long a new server is in the list before the old one drains.
	newFirstTime = time.Second
	// missingTime is how long requests are sent after the old servers have ended.
	missingTime = 6 * time.Second
	// maxLateRequests is the allowance for what was on its way.
	maxLateRequests = 3
)

// unreadableEntry is an entry of the list whose bytes can't be read: its texts hold control
// characters and bytes that are not UTF-8.
const unreadableEntry = "{\"id\":\"i-\x01\xff\xfe\",\"service\":\"\x02\x80\",\"state\":\"ready\"}"

// playUnreadable replaces the servers of a service one after the other, the new ones first,
// while the list holds one entry whose bytes can't be read.
func playUnreadable(s *site, trouble bool) (string, error) {
	var old []*server
	for number := range 3 {
		v, err := s.newServer(plainService, number)
		if err != nil {
			return "", err
		}
		old = append(old, v)
	}
	err := s.startAll(2)
	if err != nil {
		return "", err
	}
	acknowledged, _ := s.put(configuration(7, 1_000_000), 20*time.Second)
	if !acknowledged {
		return "", fmt.Errorf("the first configuration was not acknowledged")
	}
	for number := range 2 {
		err = s.waitReady(number, 10*time.Second)
		if err != nil {
			return "", err
		}
	}
	stop := make(chan struct{})
	answers := make(chan []timedAnswer)
	go func() { answers <- s.sendUntil(stop) }()
	time.Sleep(settleTime)
	if trouble {
		s.list.setExtra(unreadableEntry)
	}
	late := 0
	for number, v := range old {
		_, err = s.newServer(plainService, number)
		if err != nil {
			return "", err
		}
		time.Sleep(newFirstTime)
		v.setState("draining")
		shown := time.Now()
		time.Sleep(drainTime + lingerTime)
		v.end()
		lateHere := len(v.runsAfter(shown.Add(drainTime)))
		late += lateHere
		s.log("%d requests reached %s later than drain-ms", lateHere, v.id)
	}
	ended := time.Now()
	time.Sleep(missingTime)
	close(stop)
	failed, after := 0, 0
	for _, a := range <-answers {
		if a.sent.After(ended) {
			after++
			if a.status != 200 {
				failed++
			}
		}
	}
	s.log("%d requests reached leaving servers later than drain-ms; %d of %d sent after their end were not served", late, failed, after)
	if late > maxLateRequests {
		return fmt.Sprintf("%d requests reached leaving servers later than %s after the list showed them as draining; once these had ended, %d of %d requests were not served although three servers were ready", late, drainTime, failed, after), nil
	}
	return "", nil
}

// timedAnswer is an answer with the time at which its request was sent.
type timedAnswer struct {
	answer
	sent time.Time
}

// sendUntil sends lookups to the entries in turn until stop is closed.
func (s *site) sendUntil(stop <-chan struct{}) []timedAnswer {
	var answers []timedAnswer
	for number := 0; ; number++ {
		select {
		case <-stop:
			return answers
		case <-time.After(requestPause):
		}
		sent := time.Now()
		a := s.send(request{entry: number % 2, method: "GET", path: fmt.Sprintf("/lookup/%d", number), deadline: requestTime})
		answers = append(answers, timedAnswer{answer: a, sent: sent})
	}
}
