package loadcmd

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Parameters of the generated load.
const (
	// maxRate bounds --rate, in requests per second: one process is no substitute for
	// many callers.
	maxRate = 5000
	// Arrivals come in bursts: for burstTimeShare of the time, on average, the rate is
	// burstRateFactor times the rate between bursts.
	burstRateFactor = 4
	burstTimeShare  = 0.1
	// meanBurstDuration is the mean length of a burst; lengths are exponentially
	// distributed.
	meanBurstDuration = time.Second
	// maxLengthFactor bounds prompt and output lengths, as a multiple of their median.
	maxLengthFactor = 100
	// lengthSigma is the standard deviation of the logarithm of prompt and output
	// lengths. With it about one length in 400 reaches 50 times the median.
	lengthSigma = 1.4
	// Each customer has prefixesPerCustomer shared prefixes, and sharedPrefixShare of
	// the chats and completions start with one of them.
	prefixesPerCustomer = 8
	sharedPrefixShare   = 0.6
	// minPrefixTokens is the length of the shortest shared prefix. The others are
	// longer in equal steps; the longest is just under twice as long.
	minPrefixTokens = 512
	// plainCallShare is the share of plain calls when both --model and --service are
	// given.
	plainCallShare = 0.3
	// keyedShare is the share of non-idempotent requests that have an idempotency key.
	// With several entries, duplicateShare of the requests with a key are sent a second
	// time, through another entry.
	keyedShare     = 0.5
	duplicateShare = 0.3
	// The second sending follows the first after 1 ms and a random time below
	// maxDuplicateDelay.
	maxDuplicateDelay = 500 * time.Millisecond
)

// contentSeedStride is the distance between the text seeds of two successive values
// of --content-seed. It is odd and large, so that its multiples do not coincide.
const contentSeedStride = 0x9e3779b97f4a7c15

// bytesPerWord is the length of a generated word including the space after it. Each
// word is one token.
const bytesPerWord = 4

// requestKind is the API that a request uses.
type requestKind int

const (
	chatRequest requestKind = iota
	completionRequest
	plainRequest
)

// requestSpec describes one request of the load.
type requestSpec struct {
	number         int           // position in the plan, from 1
	id             string        // unique across runs; also the idempotency key
	arrival        time.Duration // since the start of the load
	kind           requestKind
	streamed       bool
	entry          int // index of the entry to send to first
	customer       int // index of the customer key; -1 for none
	tier           string
	idempotent     bool
	hasKey         bool          // sent with an idempotency key
	duplicateDelay time.Duration // time until the request is also sent through the next entry; 0 for never
	prefixSeed     uint64        // seed of the text of the shared prefix; 0 for no prefix
	prefixTokens   int           // length of the shared prefix
	promptTokens   int           // length of the prompt after the prefix
	outputTokens   int
	contentSeed    uint64        // seed of the text after the prefix
	timeout        time.Duration // deadline of the request
}

// plan generates the requests in the order of their arrival. Equal seeds and
// arguments give equal plans.
type plan struct {
	cmd         *Command
	tiers       []tierTimeout
	random      *rand.Rand
	lastArrival time.Duration // arrival of the last request, or the last change of rate
	inBurst     bool
	nextToggle  time.Duration // when the current burst, or the time between bursts, ends
	count       int           // requests generated so far
}

func newPlan(c *Command) *plan {
	p := &plan{cmd: c, random: rand.New(rand.NewPCG(c.Seed, 1)), inBurst: true}
	p.tiers, _ = c.parseTiers() // validate has reported errors
	p.toggleBurst()             // the load starts between two bursts
	return p
}

// toggleBurst begins or ends a burst and draws the time of the next change.
func (p *plan) toggleBurst() {
	p.inBurst = !p.inBurst
	mean := float64(meanBurstDuration)
	if !p.inBurst {
		mean *= (1 - burstTimeShare) / burstTimeShare
	}
	p.nextToggle += time.Duration(p.random.ExpFloat64() * mean)
}

// next returns the next request.
func (p *plan) next() *requestSpec {
	// The rate between bursts is lower than --rate, so that the mean over bursts and
	// the time between them is --rate.
	rate := p.cmd.Rate / (1 - burstTimeShare + burstTimeShare*burstRateFactor)
	if p.inBurst {
		rate *= burstRateFactor
	}
	at := p.lastArrival + time.Duration(p.random.ExpFloat64()/rate*float64(time.Second))
	if at > p.nextToggle {
		// A Poisson process is memoryless, so drawing restarts where the rate changes.
		p.lastArrival = p.nextToggle
		p.toggleBurst()
		return p.next()
	}
	p.lastArrival = at
	p.count++
	return p.newRequest()
}

// newRequest draws the request that arrives at p.lastArrival.
func (p *plan) newRequest() *requestSpec {
	r := p.random
	s := &requestSpec{
		number: p.count, arrival: p.lastArrival, entry: r.IntN(len(p.cmd.Entry)), customer: p.drawCustomer(), timeout: p.cmd.Timeout,
		contentSeed: r.Uint64(), promptTokens: p.drawLength(p.cmd.PromptTokens), outputTokens: p.drawLength(p.cmd.OutputTokens),
		streamed: r.IntN(2) == 0, kind: requestKind(r.IntN(2)), idempotent: r.IntN(4) > 0,
	}
	if n := len(p.tiers); n > 0 {
		t := p.tiers[r.IntN(n)]
		s.tier, s.timeout = t.name, t.timeout
	}
	if p.cmd.Model == "" || (p.cmd.Service != "" && r.Float64() < plainCallShare) {
		s.kind, s.streamed, s.idempotent = plainRequest, false, r.IntN(3) == 0
	}
	s.hasKey = !s.idempotent && r.Float64() < keyedShare
	if s.hasKey && len(p.cmd.Entry) > 1 && r.Float64() < duplicateShare {
		s.duplicateDelay = time.Millisecond + time.Duration(r.Int64N(int64(maxDuplicateDelay)))
	}
	if s.kind != plainRequest && r.Float64() < sharedPrefixShare {
		n := r.IntN(prefixesPerCustomer)
		s.prefixSeed = uint64((s.customer+1)*prefixesPerCustomer + n + 1)
		s.prefixTokens = minPrefixTokens + minPrefixTokens*n/prefixesPerCustomer
		s.prefixSeed += p.cmd.ContentSeed * contentSeedStride
	}
	s.contentSeed += p.cmd.ContentSeed * contentSeedStride
	return s
}

// drawCustomer returns the index of a random customer key, -1 if there are none.
// The k-th customer sends 1/k as many requests as the first.
func (p *plan) drawCustomer() int {
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

// drawLength draws a length in tokens from a log-normal distribution with the given
// median. It is at least 1 and at most maxLengthFactor times the median.
func (p *plan) drawLength(median int) int {
	v := float64(median) * math.Exp(lengthSigma*p.random.NormFloat64())
	return int(min(max(1, v), float64(median*maxLengthFactor)))
}

// randomText returns n random words of three letters. Equal seeds give equal text.
func randomText(seed uint64, n int) string {
	r := rand.New(rand.NewPCG(seed, 2))
	out := make([]byte, 0, n*bytesPerWord)
	for range n {
		w := r.Uint32()
		out = append(out, 'a'+byte(w%26), 'a'+byte(w/26%26), 'a'+byte(w/676%26), ' ')
	}
	return string(out)
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatMessages returns the messages of a chat: the shared prefix, if any, as the
// system message and the rest as the user message.
func (s *requestSpec) chatMessages() []message {
	var out []message
	if s.prefixTokens > 0 {
		out = append(out, message{Role: "system", Content: randomText(s.prefixSeed, s.prefixTokens)})
	}
	return append(out, message{Role: "user", Content: randomText(s.contentSeed, s.promptTokens)})
}

// completionPrompt returns the prompt of a completion: the shared prefix, if any,
// and the rest.
func (s *requestSpec) completionPrompt() string {
	return randomText(s.prefixSeed, s.prefixTokens) + randomText(s.contentSeed, s.promptTokens)
}

// enginePrompt returns the prompt as the engine sees it.
func (s *requestSpec) enginePrompt() []byte {
	if s.kind == completionRequest {
		return []byte(s.completionPrompt())
	}
	var chat []state.Message
	for _, m := range s.chatMessages() {
		chat = append(chat, state.Message{Role: m.Role, Content: m.Content})
	}
	return state.ChatPrompt(chat)
}

// requestBody is the request body of a chat or completion.
type requestBody struct {
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

// request returns the method, path and body of the HTTP request.
func (s *requestSpec) request(c *Command) (method, path string, content []byte, err error) {
	if s.kind == plainRequest {
		path = fmt.Sprintf("/services/%s/load", c.Service)
		if s.idempotent {
			return "GET", path + fmt.Sprintf("?berth=%d", s.contentSeed%100), nil, nil
		}
		return "POST", path, []byte(fmt.Sprintf(`{"id":%q,"note":%q}`, s.id, randomText(s.contentSeed, min(s.promptTokens, 256)))), nil
	}
	b := requestBody{Model: c.Model, MaxTokens: s.outputTokens, Stream: s.streamed, User: s.id}
	if s.streamed {
		b.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	path = "/v1/completions"
	if s.kind == chatRequest {
		path = "/v1/chat/completions"
		b.Messages = s.chatMessages()
	} else {
		b.Prompt = s.completionPrompt()
	}
	content, err = json.Marshal(b)
	return "POST", path, content, err
}
