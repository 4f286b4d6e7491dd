package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxEventBytes    = 1 << 20
	maxResponseBytes = 8 << 20
)

// outcome is the result of one attempt as its caller sees it.
type outcome struct {
	status int
	// complete is true if the response was successful and received up to its
	// end.
	complete bool
	// code and notRun come from the error that the entry sent, if any.
	code       string
	notRun     bool
	retryAfter time.Duration
	tokens     int64
	// firstToken is when the first token of a stream, or a whole response that
	// is not streamed, was received.
	firstToken time.Time
	// gaps are the times between consecutive tokens of a stream.
	gaps []time.Duration
	end  time.Time
	err  error
}

type responseChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
}

type errorResponse struct {
	Error struct {
		Code   string `json:"code"`
		NotRun bool   `json:"not_run"`
	} `json:"error"`
}

// readResponse reads a response, streamed or not, to its end. The caller closes
// the body.
func readResponse(response *http.Response) outcome {
	o := outcome{status: response.StatusCode}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		o.retryAfter = time.Duration(seconds) * time.Second
	}
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		o.readStream(response.Body)
	} else {
		o.readBody(response.Body)
	}
	o.end = time.Now()
	return o
}

func (o *outcome) readBody(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	o.err = err
	o.complete = err == nil && o.status < http.StatusMultipleChoices
	if o.complete {
		o.firstToken = time.Now()
		return
	}
	o.readError(data)
}

func (o *outcome) readError(data []byte) {
	var failure errorResponse
	err := json.Unmarshal(data, &failure)
	if err == nil {
		o.code = failure.Error.Code
		o.notRun = failure.Error.NotRun
	}
}

func (o *outcome) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	inErrorEvent := false
	var lastToken time.Time
	for scanner.Scan() {
		line := scanner.Bytes()
		if string(line) == "event: error" {
			inErrorEvent = true
			continue
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			continue
		}
		if inErrorEvent {
			o.readError(data)
			return
		}
		if string(data) == "[DONE]" {
			o.complete = true
			return
		}
		lastToken = o.chunk(data, lastToken)
	}
	o.err = scanner.Err()
}

// chunk records one chunk of a stream and returns the time of the latest token,
// which is lastToken if the chunk holds none.
func (o *outcome) chunk(data []byte, lastToken time.Time) time.Time {
	var chunk responseChunk
	err := json.Unmarshal(data, &chunk)
	if err != nil {
		return lastToken
	}
	if chunk.Usage != nil {
		o.tokens = chunk.Usage.TotalTokens
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return lastToken
	}
	now := time.Now()
	if o.firstToken.IsZero() {
		o.firstToken = now
	} else {
		o.gaps = append(o.gaps, now.Sub(lastToken))
	}
	return now
}
