package loadcmd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
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

type errorBody struct {
	Message string `json:"message"`
	Code    string `json:"code"`
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
	last     int    // number of the last numbered token
	numbered bool
}

// add counts one token. Tokens that the stand-in numbers (a letter "t" and the
// number) must be contiguous.
func (g *generation) add(token string) error {
	g.tokens++
	g.text.WriteString(token)
	number, ok := tokenNumber(token)
	if !ok {
		return nil
	}
	if g.numbered && number != g.last+1 {
		return fmt.Errorf("token %d follows token %d", number, g.last)
	}
	if !g.numbered && number > 1 {
		return fmt.Errorf("the first token has the number %d", number)
	}
	g.numbered, g.last = true, number
	return nil
}

func tokenNumber(token string) (int, bool) {
	digits, ok := strings.CutPrefix(strings.TrimSpace(token), "t")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil
}

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

// take adds one event of a stream. It returns the error event, if it is one.
func (g *generation) take(event *completionBody) error {
	if event.Usage != nil {
		g.usage = event.Usage.CompletionTokens
	}
	for _, c := range event.Choices {
		if token := c.Delta.Content + c.Text; token != "" {
			if err := g.add(token); err != nil {
				return err
			}
		}
		if c.FinishReason != "" {
			g.finished = c.FinishReason
		}
	}
	return nil
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
		r.outcome, r.code, r.detail = failed, b.Error.Code, b.Error.Message
		if b.Error.Code == "outcome_unknown" {
			r.outcome = unknown
		}
		return false
	}
	if err := g.take(&b); err != nil {
		r.outcome, r.detail = cut, err.Error()
		return false
	}
	return true
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
			if err := g.add(word); err != nil {
				r.outcome, r.detail = cut, err.Error()
				return
			}
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
	if err := g.verify(streamed); err != nil {
		r.outcome, r.detail = cut, err.Error()
		return
	}
	r.outcome, r.content = whole, []byte(strings.Join(strings.Fields(g.text.String()), " "))
}
