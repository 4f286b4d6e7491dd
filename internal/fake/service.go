package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a fake HTTP service that counts its runs by idempotency key.
// Its zero value is ready to use.
type Service struct {
	mu      sync.Mutex
	runs    map[string]int
	running int
	faults  []Fault
}

// Inject queues faults: each of the next calls takes one, in order. A fault
// other than Refuse applies after the call has been counted as run. A nil fault
// leaves its call intact.
func (s *Service) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

func (s *Service) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return nil
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

type serviceResponse struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"`
}

// Handler returns a handler that runs any method and path, except that /load
// returns the number of running calls.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(s.serve)
}

// Runs returns how many times requests with the idempotency key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		s.serveLoad(w)
		return
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	w.Header().Set(attemptHeader, r.Header.Get(attemptHeader))
	w.Header().Set("Content-Type", "application/json")
	fault := s.nextFault()
	refuse, refused := fault.(Refuse)
	if refused {
		w.WriteHeader(refuse.Status)
		return
	}
	response := serviceResponse{
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Body:   string(body),
		Run:    s.countRun(r.Header.Get("Idempotency-Key")),
	}
	switch fault := fault.(type) {
	case Hang:
		<-r.Context().Done()
		return
	case Crash:
		panic(http.ErrAbortHandler)
	case WrongAttempt:
		w.Header().Set(attemptHeader, otherAttemptID)
	case Stall:
		time.Sleep(fault.For)
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (s *Service) countRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[key]++
	return s.runs[key]
}

func (s *Service) addRunning(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	s.mu.Lock()
	load := engineLoad{Running: s.running}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(load)
}
