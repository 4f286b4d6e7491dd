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
	maxEventBytes  = 1 << 20
	maxAnswerBytes = 8 << 20
)

// outcome is what a caller saw of one try.
type outcome struct {
	status int
	// whole is true only when the answer came to its end.
	whole      bool
	code       string
	notRun     bool
	retryAfter time.Duration
	tokens     int64
	first      time.Time
	gaps       []time.Duration
	end        time.Time
	err        error
}

type answerChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
}

type answerError struct {
	Error struct {
		Code   string `json:"code"`
		NotRun bool   `json:"not_run"`
	} `json:"error"`
}

// readAnswer reads an answer to its end.
func readAnswer(response *http.Response) outcome {
	o := outcome{status: response.StatusCode}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err == nil {
		o.retryAfter = time.Duration(seconds) * time.Second
	}
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		o.readStream(response.Body)
	} else {
		o.readWhole(response.Body)
	}
	o.end = time.Now()
	return o
}

func (o *outcome) readWhole(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	o.err = err
	o.whole = err == nil && o.status < http.StatusMultipleChoices
	if o.whole {
		o.first = time.Now()
		return
	}
	o.readError(data)
}

func (o *outcome) readError(data []byte) {
	var failure answerError
	err := json.Unmarshal(data, &failure)
	if err == nil {
		o.code = failure.Error.Code
		o.notRun = failure.Error.NotRun
	}
}

func (o *outcome) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	failed := false
	var last time.Time
	for scanner.Scan() {
		line := scanner.Bytes()
		if string(line) == "event: error" {
			failed = true
			continue
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			continue
		}
		if failed {
			o.readError(data)
			return
		}
		if string(data) == "[DONE]" {
			o.whole = true
			return
		}
		last = o.chunk(data, last)
	}
	o.err = scanner.Err()
}

// chunk takes one chunk in and returns when the last token came.
func (o *outcome) chunk(data []byte, last time.Time) time.Time {
	var chunk answerChunk
	err := json.Unmarshal(data, &chunk)
	if err != nil {
		return last
	}
	if chunk.Usage != nil {
		o.tokens = chunk.Usage.TotalTokens
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return last
	}
	now := time.Now()
	if o.first.IsZero() {
		o.first = now
	} else {
		o.gaps = append(o.gaps, now.Sub(last))
	}
	return now
}
