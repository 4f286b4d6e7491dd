package bench

import (
	"math/rand/v2"
	"time"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/route"
)

// work is one kind of request that users send.
type work struct {
	name  string
	class admit.Class
	// share is the fraction of all requests. prompt, prefix and output are
	// lengths in tokens, and prefixes is the number of different prefixes.
	share    float64
	prompt   int64
	prefix   int64
	prefixes int
	output   int64
	deadline time.Duration
}

// works is the users' mix of requests. The shares add up to 1.
var works = []*work{
	{name: "door_classification", class: admit.Interactive, share: 0.30, prompt: 300, prefix: 200, prefixes: 4, output: 8, deadline: 4 * time.Second},
	{name: "defect_note_rewrite", class: admit.Interactive, share: 0.25, prompt: 600, prefix: 400, prefixes: 24, output: 80, deadline: 8 * time.Second},
	{name: "lettering", class: admit.Interactive, share: 0.10, prompt: 500, prefix: 300, prefixes: 16, output: 60, deadline: 8 * time.Second},
	{name: "continuity_pass", class: admit.Standard, share: 0.10, prompt: 4000, prefix: 3600, prefixes: 48, output: 200, deadline: 30 * time.Second},
	{name: "report_draft", class: admit.Batch, share: 0.15, prompt: 2500, prefix: 1500, prefixes: 24, output: 600, deadline: 90 * time.Second},
	{name: "panel_tagging", class: admit.Batch, share: 0.10, prompt: 400, prefix: 300, prefixes: 8, output: 30, deadline: 60 * time.Second},
}

// request is a caller's request.
type request struct {
	work      *work
	workspace string
	prefix    uint64
	output    int64
	arrived   time.Time
	deadline  time.Time
	// dispatch counts the dispatch, and submissions the refused submissions.
	dispatch    int
	submissions int
}

// prompt returns what an entry knows of the request's prompt.
func (r *request) prompt() *place.Prompt {
	return &place.Prompt{
		Tokens: r.work.prompt,
		Output: r.work.output,
		Prefix: []place.PrefixSegment{{ID: r.prefix, Tokens: r.work.prefix}},
	}
}

// newRequest returns a request of a random work that arrives at now. Its output
// length varies by half around the work's.
func newRequest(random *rand.Rand, now time.Time) *request {
	chosen := works[len(works)-1]
	x := random.Float64()
	for _, w := range works {
		if x < w.share {
			chosen = w
			break
		}
		x -= w.share
	}
	// Squaring u favours low indexes: a few templates make up most requests.
	u := random.Float64()
	index := int(u * u * float64(chosen.prefixes))
	return &request{
		work:      chosen,
		workspace: string(rune('a' + random.IntN(10))),
		prefix:    route.PrefixHash(chosen.name, []byte{byte(index)}),
		output:    max(1, int64(float64(chosen.output)*(0.5+random.Float64()))),
		arrived:   now,
		deadline:  now.Add(chosen.deadline),
	}
}
