package loadcmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/eventstream"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// completionResponse is the body of a response that is not streamed, or one event of
// a stream; for chats and completions.
type completionResponse struct {
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

// errorBody is the error object of a response or event. Outcome is set in error
// events, which carry no headers.
type errorBody struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// parseOutcome maps the value of the header Cassiaramp-Outcome, or of the field
// "outcome" of an error event, to an outcome.
func parseOutcome(reported string) outcome {
	switch reported {
	case "not-run":
		return outcomeRefused
	case "unknown":
		return outcomeUnknown
	}
	return outcomeFailed
}

// parseErrorCode returns the code of an error response, or "" if it has none.
func parseErrorCode(content []byte) string {
	var b completionResponse
	if json.Unmarshal(content, &b) != nil || b.Error == nil {
		return ""
	}
	return b.Error.Code
}

// generation collects the text that a response generated and how it ended.
type generation struct {
	text           bytes.Buffer
	tokens         int
	finishReason   string // "" until received
	reportedTokens int    // completion_tokens of the usage; -1 until received
	doneReceived   bool   // the event [DONE] was received
}

// addToken appends one token to the text.
func (g *generation) addToken(token string) {
	g.tokens++
	g.text.WriteString(token)
}

// checkText returns an error unless the text equals the same number of tokens of the
// expected response. A nil expected means that the response is not known: any text
// passes.
func (g *generation) checkText(expected func(n int) string) error {
	if expected == nil || normaliseSpace(g.text.String()) == normaliseSpace(expected(g.tokens)) {
		return nil
	}
	return fmt.Errorf("the %d tokens received differ from the first %d of the expected response", g.tokens, g.tokens)
}

// normaliseSpace replaces each run of white space in text by one space.
func normaliseSpace(text string) string { return strings.Join(strings.Fields(text), " ") }

// checkComplete returns the reason why a response that ended without an error is not
// complete, or nil.
func (g *generation) checkComplete(streamed bool) error {
	switch {
	case streamed && !g.doneReceived:
		return errors.New("the stream ended without [DONE]")
	case g.finishReason == "":
		return errors.New("the response has no finish_reason")
	case g.reportedTokens < 0:
		return errors.New("the response has no usage")
	case g.reportedTokens != g.tokens:
		return fmt.Errorf("%d tokens received, but the usage reports %d", g.tokens, g.reportedTokens)
	}
	return nil
}

// addEvent adds one event of a stream.
func (g *generation) addEvent(event *completionResponse) {
	if event.Usage != nil {
		g.reportedTokens = event.Usage.CompletionTokens
	}
	for _, c := range event.Choices {
		if token := c.Delta.Content + c.Text; token != "" {
			g.addToken(token)
		}
		if c.FinishReason != "" {
			g.finishReason = c.FinishReason
		}
	}
}

// readStream reads server-sent events to the end of the stream and sets the outcome.
func (r *sendResult) readStream(stream io.Reader, started time.Time) {
	g := &generation{reportedTokens: -1}
	events := eventstream.NewReader(stream, maxEventBytes, nil)
	last := started
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			r.finish(g, nil, true)
			return
		}
		if err != nil {
			r.finish(g, err, true)
			return
		}
		data, ok := event.Data()
		if !ok {
			continue
		}
		before := g.tokens
		if !r.handleEvent(g, string(bytes.TrimSpace(data))) {
			return
		}
		if g.tokens > before {
			last = r.recordTokenTime(started, last)
		}
	}
}

// recordTokenTime records that a token arrived now and returns the time. last is the
// arrival of the token before.
func (r *sendResult) recordTokenTime(started, last time.Time) time.Time {
	now := time.Now()
	if r.firstToken == 0 {
		r.firstToken = now.Sub(started)
	} else {
		r.tokenGaps = append(r.tokenGaps, now.Sub(last))
	}
	return now
}

// handleEvent handles the data of one event. It returns false when the outcome is
// determined, so that the rest of the stream is not read.
func (r *sendResult) handleEvent(g *generation, data string) bool {
	if g.doneReceived {
		r.outcome, r.detail = outcomeCut, "event received after [DONE]"
		return false
	}
	if data == "[DONE]" {
		g.doneReceived = true
		return true
	}
	var b completionResponse
	if err := json.Unmarshal([]byte(data), &b); err != nil {
		r.outcome, r.detail = outcomeCut, "event is not JSON: "+err.Error()
		return false
	}
	if b.Error != nil {
		r.finishWithError(g, b.Error)
		return false
	}
	g.addEvent(&b)
	return true
}

// finishWithError sets the outcome of a stream that ends with an error event.
func (r *sendResult) finishWithError(g *generation, e *errorBody) {
	r.outcome, r.code, r.detail = parseOutcome(e.Outcome), e.Code, e.Message
	if r.outcome == outcomeRefused && g.tokens > 0 {
		r.outcome, r.detail = outcomeCut, "reported as not run after tokens were received"
		return
	}
	if err := g.checkText(r.expectedText); err != nil {
		r.outcome, r.detail = outcomeCut, err.Error()
	}
}

// readUnstreamed reads a response that is not streamed and sets the outcome.
func (r *sendResult) readUnstreamed(stream io.Reader) {
	g := &generation{reportedTokens: -1}
	content, err := io.ReadAll(stream)
	if err != nil {
		r.finish(g, err, false)
		return
	}
	var b completionResponse
	if err := json.Unmarshal(content, &b); err != nil {
		r.outcome, r.detail = outcomeCut, "body is not JSON: "+err.Error()
		return
	}
	if b.Usage != nil {
		g.reportedTokens = b.Usage.CompletionTokens
	}
	for _, c := range b.Choices {
		g.finishReason = c.FinishReason
		for _, word := range strings.Fields(c.Message.Content + c.Text) {
			g.addToken(word + " ")
		}
	}
	r.finish(g, nil, false)
}

// finish sets the outcome of a response whose reading ended with err, nil at its
// regular end.
func (r *sendResult) finish(g *generation, err error, streamed bool) {
	if errors.Is(err, eventstream.ErrEndsInsideEvent) {
		r.outcome, r.detail = outcomeCut, err.Error()
		return
	}
	if err != nil && !g.doneReceived {
		r.outcome, r.detail = outcomeBroken, fmt.Sprintf("after %d tokens: %v", g.tokens, err)
		return
	}
	if err := errors.Join(g.checkComplete(streamed), g.checkText(r.expectedText)); err != nil {
		r.outcome, r.detail = outcomeCut, err.Error()
		return
	}
	r.outcome, r.content = outcomeComplete, []byte(normaliseSpace(g.text.String()))
}
