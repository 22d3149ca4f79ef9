package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// loadGenerator keeps a number of streamed requests in flight. Each requests
// outputTokens tokens and is followed at once by the next.
type loadGenerator struct {
	m            *measurement
	streams      int
	client       *http.Client
	entries      []process
	prompt       string
	group        sync.WaitGroup
	stopping     atomic.Bool // requests in flight complete, no others begin
	completed    atomic.Int64
	failed       atomic.Int64
	exampleError atomic.Value // string
}

// promptWords is the number of words in a prompt, which are about 200 tokens.
const promptWords = 200

func newLoadGenerator(m *measurement, streams int) *loadGenerator {
	l := &loadGenerator{
		m: m, streams: streams, prompt: strings.Repeat("abc ", promptWords),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}},
	}
	for _, p := range m.Processes {
		if p.Callers != "" {
			l.entries = append(l.entries, p)
		}
	}
	return l
}

func (l *loadGenerator) start(ctx context.Context) {
	for i := range l.streams {
		l.group.Go(func() {
			// The starts are spread over time so that the ends are too.
			select {
			case <-time.After(time.Duration(i) * warmUpTime / 2 / time.Duration(l.streams)):
			case <-ctx.Done():
			}
			for k := 0; ctx.Err() == nil && !l.stopping.Load(); k++ {
				if err := l.send(ctx, i, k); err != nil && ctx.Err() == nil {
					l.failed.Add(1)
					l.exampleError.Store(err.Error())
					return
				} else if err == nil {
					l.completed.Add(1)
				}
			}
		})
	}
}

func (l *loadGenerator) send(ctx context.Context, i, k int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"%d %d %s","max_tokens":%d,"stream":true}`, modelName(i%l.m.Services), i, k, l.prompt, outputTokens)
	url := "http://" + l.entries[i%len(l.entries)].Callers + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+customerKey(i%l.m.Customers))
	req.Header.Set("Content-Type", "application/json")
	resp, err := l.client.Do(req)
	if err != nil {
		return err
	}
	return readStream(resp)
}
