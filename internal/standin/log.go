package standin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

const (
	defaultRetention  = 10 * time.Minute
	defaultAppendRate = 300
	// maxAppendWait is how long an append may wait for the rate limit.
	maxAppendWait = 500 * time.Millisecond
	// maxPollWait bounds the wait of a long poll.
	maxPollWait = 30 * time.Second
	// maxReadRecords bounds one read response.
	maxReadRecords = 1000
	// maxStreamRecords bounds the memory of one stream; the oldest go first.
	maxStreamRecords = 200_000
)

// logService is the log service: streams of records at offsets from 0. It does
// not remove duplicate record ids.
type logService struct {
	srv       *server
	retention time.Duration
	limiter   *rate.Limiter
	now       func() time.Time

	mu      sync.Mutex
	streams map[string]*stream
}

// stream holds the records from offset first on.
type stream struct {
	first   uint64
	records []logRecord
	changed chan struct{} // closed and replaced on append
}

type appendBody struct {
	Records []struct {
		ID   string `json:"id"`
		Data []byte `json:"data"`
	} `json:"records"`
}

type logRecord struct {
	Offset uint64    `json:"offset"`
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

type logPage struct {
	First   uint64      `json:"first"` // oldest offset retained
	Next    uint64      `json:"next"`  // offset to read from next
	End     uint64      `json:"end"`   // offset of the next append
	Records []logRecord `json:"records"`
}

func newLogService(c *LogConfig, srv *server) *logService {
	l := &logService{srv: srv, retention: c.Retention.Std(), now: time.Now, streams: map[string]*stream{}}
	if l.retention == 0 {
		l.retention = defaultRetention
	}
	appends := c.AppendsPerSecond
	if appends == 0 {
		appends = defaultAppendRate
	}
	l.limiter = rate.NewLimiter(rate.Limit(appends), max(1, int(appends/10)))
	srv.latency = c.Latency.Std()
	srv.lagIsDelay = true
	srv.handler = l.handle
	return l
}

func (l *logService) handle(ctx *fasthttp.RequestCtx) {
	p := segments(ctx)
	switch {
	case len(p) != 3 || p[0] != "streams" || p[2] != "records":
		notFound(ctx)
	case ctx.IsPost():
		l.handleAppend(ctx, p[1])
	case ctx.IsGet():
		l.handleRead(ctx, p[1])
	default:
		notFound(ctx)
	}
}

func (l *logService) handleAppend(ctx *fasthttp.RequestCtx, name string) {
	var body appendBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || len(body.Records) == 0 {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", "want {\"records\":[{\"id\",\"data\"}]} with at least one record")
		return
	}
	r := l.limiter.Reserve()
	if wait := r.Delay(); wait > maxAppendWait {
		r.Cancel()
		failLater(ctx, wait, "append_rate", "more appends a second than the log service takes")
		return
	}
	l.srv.pause(r.Delay())
	reply(ctx, fasthttp.StatusOK, map[string][]uint64{"offsets": l.append(name, body)})
}

func (l *logService) append(name string, body appendBody) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	var offsets []uint64
	for _, in := range body.Records {
		offset := s.end()
		s.records = append(s.records, logRecord{Offset: offset, ID: in.ID, Time: l.now(), Data: in.Data})
		offsets = append(offsets, offset)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offsets
}

func (l *logService) handleRead(ctx *fasthttp.RequestCtx, name string) {
	from, ok1 := queryUint(ctx, "from", 0)
	limit, ok2 := queryUint(ctx, "limit", maxReadRecords)
	var wait time.Duration
	var err error
	if raw := ctx.QueryArgs().Peek("wait"); raw != nil {
		wait, err = time.ParseDuration(string(raw))
	}
	if !ok1 || !ok2 || err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "bad_request", "want from and limit as numbers and wait as a duration such as 2s")
		return
	}
	deadline := time.NewTimer(min(wait, maxPollWait))
	defer deadline.Stop()
	for {
		page, changed := l.read(name, from, int(min(limit, maxReadRecords)))
		if len(page.Records) > 0 || wait <= 0 {
			reply(ctx, fasthttp.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-l.srv.ctx.Done():
			wait = 0
		}
	}
}

// read returns the records from offset from on, or from the oldest one
// retained, and a channel that is closed at the next append.
func (l *logService) read(name string, from uint64, limit int) (logPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := logPage{First: s.first, End: s.end(), Records: []logRecord{}}
	start := min(max(from, s.first), page.End) - s.first
	rest := s.records[start:]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	page.Records = append(page.Records, rest...)
	page.Next = s.first + start + uint64(len(rest))
	return page, s.changed
}

// stream returns the stream after it has dropped what is past retention.
func (l *logService) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	oldest := l.now().Add(-l.retention)
	n := 0
	for n < len(s.records) && (s.records[n].Time.Before(oldest) || len(s.records)-n > maxStreamRecords) {
		n++
	}
	s.records = s.records[n:]
	s.first += uint64(n)
	return s
}

func (s *stream) end() uint64 { return s.first + uint64(len(s.records)) }
