package loadcmd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxEvent bounds one server-sent event.
const maxEvent = 1 << 20

// completionBody is a whole response or one event of a stream, chat or not.
type completionBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *errorBody `json:"error"`
}

// errorBody is the error shape. Outcome is set in error events, which carry no
// headers.
type errorBody struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// outcomeOf maps the header Cassiaramp-Outcome, or the field of an error event.
func outcomeOf(reported string) outcome {
	switch reported {
	case "not-run":
		return refused
	case "unknown":
		return unknown
	}
	return failed
}

// errorCode returns the code of an error response, or "".
func errorCode(content []byte) string {
	var b completionBody
	if json.Unmarshal(content, &b) != nil || b.Error == nil {
		return ""
	}
	return b.Error.Code
}

// generation collects what a response generated and how it ended.
type generation struct {
	text     bytes.Buffer
	tokens   int
	finished string // finish_reason
	usage    int    // completion_tokens; -1 when not reported
	done     bool   // [DONE] was received
}

// add counts one token.
func (g *generation) add(token string) {
	g.tokens++
	g.text.WriteString(token)
}

// contiguous compares the text with that of the same number of tokens that the
// stand-in generates for the prompt. Without a known text it returns nil.
func (g *generation) contiguous(expected func(n int) string) error {
	if expected == nil || words(g.text.String()) == words(expected(g.tokens)) {
		return nil
	}
	return fmt.Errorf("the %d tokens received are not the first %d of the response", g.tokens, g.tokens)
}

// words normalises white space between tokens.
func words(text string) string { return strings.Join(strings.Fields(text), " ") }

// verify reports why a response that ended in order is not whole, or nil.
func (g *generation) verify(streamed bool) error {
	switch {
	case streamed && !g.done:
		return errors.New("no [DONE]")
	case g.finished == "":
		return errors.New("no finish_reason")
	case g.usage < 0:
		return errors.New("no usage")
	case g.usage != g.tokens:
		return fmt.Errorf("%d tokens received, usage says %d", g.tokens, g.usage)
	}
	return nil
}

// take adds one event of a stream.
func (g *generation) take(event *completionBody) {
	if event.Usage != nil {
		g.usage = event.Usage.CompletionTokens
	}
	for _, c := range event.Choices {
		if token := c.Delta.Content + c.Text; token != "" {
			g.add(token)
		}
		if c.FinishReason != "" {
			g.finished = c.FinishReason
		}
	}
}

// readStream reads server-sent events to the end.
func (r *reply) readStream(stream io.Reader, started time.Time) {
	g := &generation{usage: -1}
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	last := started
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		before := g.tokens
		if !r.event(g, strings.TrimSpace(data)) {
			return
		}
		if g.tokens > before {
			last = r.clockToken(started, last)
		}
	}
	r.end(g, lines.Err(), true)
}

// clockToken records when a token arrived.
func (r *reply) clockToken(started, last time.Time) time.Time {
	now := time.Now()
	if r.first == 0 {
		r.first = now.Sub(started)
	} else {
		r.gaps = append(r.gaps, now.Sub(last))
	}
	return now
}

// event handles the data of one event. It returns false when the outcome is
// settled.
func (r *reply) event(g *generation, data string) bool {
	if g.done {
		r.outcome, r.detail = cut, "data after [DONE]"
		return false
	}
	if data == "[DONE]" {
		g.done = true
		return true
	}
	var b completionBody
	if err := json.Unmarshal([]byte(data), &b); err != nil {
		r.outcome, r.detail = cut, "event is not JSON: "+err.Error()
		return false
	}
	if b.Error != nil {
		r.errorEvent(g, b.Error)
		return false
	}
	g.take(&b)
	return true
}

// errorEvent settles the outcome of a stream that ends with an explicit error.
func (r *reply) errorEvent(g *generation, e *errorBody) {
	r.outcome, r.code, r.detail = outcomeOf(e.Outcome), e.Code, e.Message
	if r.outcome == refused && g.tokens > 0 {
		r.outcome, r.detail = cut, "reported as not run after tokens"
		return
	}
	if err := g.contiguous(r.expected); err != nil {
		r.outcome, r.detail = cut, err.Error()
	}
}

// readWhole reads a response that is not streamed.
func (r *reply) readWhole(stream io.Reader) {
	g := &generation{usage: -1}
	content, err := io.ReadAll(stream)
	if err != nil {
		r.end(g, err, false)
		return
	}
	var b completionBody
	if err := json.Unmarshal(content, &b); err != nil {
		r.outcome, r.detail = cut, "body is not JSON: "+err.Error()
		return
	}
	if b.Usage != nil {
		g.usage = b.Usage.CompletionTokens
	}
	for _, c := range b.Choices {
		g.finished = c.FinishReason
		for _, word := range strings.Fields(c.Message.Content + c.Text) {
			g.add(word + " ")
		}
	}
	r.end(g, nil, false)
}

// end settles the outcome of a response that ended with err.
func (r *reply) end(g *generation, err error, streamed bool) {
	if err != nil && !g.done {
		r.outcome, r.detail = broken, fmt.Sprintf("after %d tokens: %v", g.tokens, err)
		return
	}
	if err := errors.Join(g.verify(streamed), g.contiguous(r.expected)); err != nil {
		r.outcome, r.detail = cut, err.Error()
		return
	}
	r.outcome, r.content = whole, []byte(words(g.text.String()))
}
