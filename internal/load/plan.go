// Package load generates open-loop load: it sends a mix of requests to an entry
// at random times, whether or not earlier requests have ended, and reports
// outcomes and latencies as seen by the callers.
package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cactusbay/cactusbay/internal/settings"
)

const (
	defaultPromptWords = 50
	defaultMaxTokens   = 64
)

// plannedRequest is one request of a run. The seed determines everything but
// the run's name in its idempotency key.
type plannedRequest struct {
	work      *settings.LoadWork
	caller    int
	at        time.Duration
	key       string
	path      string
	body      []byte
	maxTokens int64
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// plan returns the requests of a run in order of their send times. Arrivals form
// a Poisson process with the configured rate, up to the run's duration or
// maximum number of requests. The name of the run goes into the idempotency
// keys.
func plan(l *settings.LoadRun, run string) []plannedRequest {
	random := rand.New(rand.NewPCG(l.Seed, 0))
	var requests []plannedRequest
	at := time.Duration(0)
	for len(requests) < l.MaxRequests {
		at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		if at >= l.Duration.Or(0) {
			break
		}
		requests = append(requests, newPlannedRequest(l, random, at, fmt.Sprintf("load-%s-%d", run, len(requests))))
	}
	return requests
}

func newPlannedRequest(l *settings.LoadRun, random *rand.Rand, at time.Duration, key string) plannedRequest {
	work := pickWork(l.Works, random)
	p := plannedRequest{work: work, caller: random.IntN(len(l.Callers)), at: at, key: key}
	if work.Kind == settings.LoadKindService {
		p.path = "/services/" + work.Route + work.Path
		p.body = []byte(key)
		return p
	}
	p.path = "/v1/chat/completions"
	p.maxTokens = work.MaxTokens
	if p.maxTokens == 0 {
		p.maxTokens = defaultMaxTokens
	}
	p.body = newChatBody(work, p.maxTokens, random)
	return p
}

// pickWork picks a work at random, weighted by Share.
func pickWork(works []settings.LoadWork, random *rand.Rand) *settings.LoadWork {
	total := 0.0
	for i := range works {
		total += works[i].Share
	}
	x := random.Float64() * total
	for i := range works {
		x -= works[i].Share
		if x < 0 {
			return &works[i]
		}
	}
	return &works[len(works)-1]
}

func newChatBody(work *settings.LoadWork, maxTokens int64, random *rand.Rand) []byte {
	words := work.PromptWords
	if words == 0 {
		words = defaultPromptWords
	}
	shared := min(work.PrefixWords, words)
	prefix := random.IntN(max(1, work.Prefixes))
	body, err := json.Marshal(chatBody{
		Model:  work.Route,
		Stream: true,
		Messages: []chatMessage{
			{Role: "system", Content: strings.Repeat(fmt.Sprintf("%s-%d ", work.Name, prefix), max(1, shared))},
			{Role: "user", Content: strings.Repeat(fmt.Sprintf("note-%d ", random.IntN(1_000_000)), max(1, words-shared))},
		},
		MaxTokens: maxTokens,
	})
	if err != nil {
		return nil
	}
	return body
}
