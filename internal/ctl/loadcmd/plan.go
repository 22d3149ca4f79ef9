package loadcmd

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Shape of the load.
const (
	// maxRate bounds --rate: one process is no substitute for many callers.
	maxRate = 5000
	// burstFactor and burstShare shape the arrivals: for this share of the time
	// the rate is higher by this factor.
	burstFactor = 4
	burstShare  = 0.1
	// meanBurst is the mean length of a burst.
	meanBurst = time.Second
	// longest is the largest length relative to the median.
	longest = 100
	// spread is the standard deviation of the logarithm of lengths. With it about
	// one length in 400 reaches 50 times the median.
	spread = 1.4
	// prefixesPerCustomer and prefixShare describe shared prefixes.
	prefixesPerCustomer = 8
	prefixShare         = 0.6
	// prefixTokens is the length of the shortest shared prefix; the longest is
	// twice that.
	prefixTokens = 512
	// plainShare is the share of plain calls when there are both kinds.
	plainShare = 0.3
	// keyedShare is the share of non-idempotent requests with a key, and
	// twiceShare the share of keyed requests sent again through another entry.
	keyedShare = 0.5
	twiceShare = 0.3
	// secondAfter is the longest time between the two.
	secondAfter = 500 * time.Millisecond
)

// contentStride separates the seeds of the texts of two values of
// --content-seed; it is odd and large, so that multiples do not meet.
const contentStride = 0x9e3779b97f4a7c15

// bytesPerWord is the length of a generated word with its space, one token.
const bytesPerWord = 4

// form is how a request is sent.
type form int

const (
	chat form = iota
	completion
	plain
)

// spec describes one request.
type spec struct {
	number     int
	id         string // unique over runs
	at         time.Duration
	form       form
	streamed   bool
	entry      int // index of the first entry
	customer   int // index of the customer key, -1 for none
	tier       string
	idempotent bool
	keyed      bool
	second     time.Duration // when to send again through another entry; 0 for never
	prefix     uint64        // seed of the shared prefix; 0 for none
	prefixLen  int           // tokens
	promptLen  int           // tokens after the prefix
	outputLen  int           // tokens
	content    uint64        // seed of the text
	timeout    time.Duration // deadline of the request
}

// plan generates specs in the order of their arrival. Equal seeds and arguments
// give equal plans.
type plan struct {
	cmd    *Command
	tiers  []tierTimeout
	random *rand.Rand
	at     time.Duration
	burst  bool
	change time.Duration // when the burst begins or ends
	count  int
}

func newPlan(c *Command) *plan {
	p := &plan{cmd: c, random: rand.New(rand.NewPCG(c.Seed, 1)), burst: true}
	p.tiers, _ = c.tiers() // check has reported errors
	p.toggle()
	return p
}

// toggle switches between bursts and the time between them.
func (p *plan) toggle() {
	p.burst = !p.burst
	mean := float64(meanBurst)
	if !p.burst {
		mean *= (1 - burstShare) / burstShare
	}
	p.change += time.Duration(p.random.ExpFloat64() * mean)
}

// next returns the next arrival.
func (p *plan) next() *spec {
	// The base rate gives the mean rate asked for over bursts and pauses.
	rate := p.cmd.Rate / (1 - burstShare + burstShare*burstFactor)
	if p.burst {
		rate *= burstFactor
	}
	at := p.at + time.Duration(p.random.ExpFloat64()/rate*float64(time.Second))
	if at > p.change {
		// The process has no memory, so it restarts at the change of rate.
		p.at = p.change
		p.toggle()
		return p.next()
	}
	p.at = at
	p.count++
	return p.spec()
}

func (p *plan) spec() *spec {
	r := p.random
	s := &spec{
		number: p.count, at: p.at, entry: r.IntN(len(p.cmd.Entry)), customer: p.customer(), timeout: p.cmd.Timeout,
		content: r.Uint64(), promptLen: p.length(p.cmd.PromptTokens), outputLen: p.length(p.cmd.OutputTokens),
		streamed: r.IntN(2) == 0, form: form(r.IntN(2)), idempotent: r.IntN(4) > 0,
	}
	if n := len(p.tiers); n > 0 {
		t := p.tiers[r.IntN(n)]
		s.tier, s.timeout = t.name, t.timeout
	}
	if p.cmd.Model == "" || (p.cmd.Service != "" && r.Float64() < plainShare) {
		s.form, s.streamed, s.idempotent = plain, false, r.IntN(3) == 0
	}
	s.keyed = !s.idempotent && r.Float64() < keyedShare
	if s.keyed && len(p.cmd.Entry) > 1 && r.Float64() < twiceShare {
		s.second = time.Millisecond + time.Duration(r.Int64N(int64(secondAfter)))
	}
	if s.form != plain && r.Float64() < prefixShare {
		n := r.IntN(prefixesPerCustomer)
		s.prefix = uint64((s.customer+1)*prefixesPerCustomer + n + 1)
		s.prefixLen = prefixTokens + prefixTokens*n/prefixesPerCustomer
		s.prefix += p.cmd.ContentSeed * contentStride
	}
	s.content += p.cmd.ContentSeed * contentStride
	return s
}

// customer draws a customer; the k-th sends 1/k as much as the first.
func (p *plan) customer() int {
	n := len(p.cmd.CustomerKey)
	total := 0.0
	for k := 1; k <= n; k++ {
		total += 1 / float64(k)
	}
	at := p.random.Float64() * total
	for k := 1; k <= n; k++ {
		if at -= 1 / float64(k); at < 0 {
			return k - 1
		}
	}
	return n - 1
}

// length draws from a log-normal distribution, cut at longest medians.
func (p *plan) length(median int) int {
	v := float64(median) * math.Exp(spread*p.random.NormFloat64())
	return int(min(max(1, v), float64(median*longest)))
}

// text returns n words.
func text(seed uint64, n int) string {
	r := rand.New(rand.NewPCG(seed, 2))
	out := make([]byte, 0, n*bytesPerWord)
	for range n {
		w := r.Uint32()
		out = append(out, 'a'+byte(w%26), 'a'+byte(w/26%26), 'a'+byte(w/676%26), ' ')
	}
	return string(out)
}

// message is one chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// messages returns the chat: the shared prefix, if any, and the rest.
func (s *spec) messages() []message {
	var out []message
	if s.prefixLen > 0 {
		out = append(out, message{Role: "system", Content: text(s.prefix, s.prefixLen)})
	}
	return append(out, message{Role: "user", Content: text(s.content, s.promptLen)})
}

// completionPrompt returns the prompt of a completion.
func (s *spec) completionPrompt() string {
	return text(s.prefix, s.prefixLen) + text(s.content, s.promptLen)
}

// prompt returns the prompt as the engine sees it.
func (s *spec) prompt() []byte {
	if s.form == completion {
		return []byte(s.completionPrompt())
	}
	var chat []state.Message
	for _, m := range s.messages() {
		chat = append(chat, state.Message{Role: m.Role, Content: m.Content})
	}
	return state.ChatPrompt(chat)
}

// body is the request body of a chat or completion.
type body struct {
	Model         string         `json:"model"`
	Messages      []message      `json:"messages,omitempty"`
	Prompt        string         `json:"prompt,omitempty"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	User          string         `json:"user"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// request returns method, path and body.
func (s *spec) request(c *Command) (method, path string, content []byte, err error) {
	if s.form == plain {
		path = fmt.Sprintf("/services/%s/load", c.Service)
		if s.idempotent {
			return "GET", path + fmt.Sprintf("?berth=%d", s.content%100), nil, nil
		}
		return "POST", path, []byte(fmt.Sprintf(`{"id":%q,"note":%q}`, s.id, text(s.content, min(s.promptLen, 256)))), nil
	}
	b := body{Model: c.Model, MaxTokens: s.outputLen, Stream: s.streamed, User: s.id}
	if s.streamed {
		b.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	path = "/v1/completions"
	if s.form == chat {
		path = "/v1/chat/completions"
		b.Messages = s.messages()
	} else {
		b.Prompt = s.completionPrompt()
	}
	content, err = json.Marshal(b)
	return "POST", path, content, err
}
