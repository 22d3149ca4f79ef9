package standin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

const (
	defaultRetention        = 10 * time.Minute
	defaultAppendsPerSecond = 300
	// maxAppendWait bounds how long an append waits for the rate limit.
	maxAppendWait = 500 * time.Millisecond
	// maxPollWait bounds how long a read waits for records (long poll).
	maxPollWait = 30 * time.Second
	// maxReadRecords bounds the records in one read response.
	maxReadRecords = 1000
	// maxStreamRecords bounds the records kept in one stream, and so its memory;
	// the oldest are dropped first.
	maxStreamRecords = 200_000
)

// logService is the log service. It holds streams of records, whose offsets
// begin at 0. It does not deduplicate records with the same id.
type logService struct {
	srv       *server
	retention time.Duration
	limiter   *rate.Limiter
	now       func() time.Time

	mu      sync.Mutex
	streams map[string]*stream
}

// stream holds the retained records; the first of them has offset firstOffset.
type stream struct {
	firstOffset uint64
	records     []logRecord
	changed     chan struct{} // closed and replaced on append
}

// appendRequest is the body of POST /streams/NAME/records.
type appendRequest struct {
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

// logPage is the response of GET /streams/NAME/records.
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
		appends = defaultAppendsPerSecond
	}
	l.limiter = rate.NewLimiter(rate.Limit(appends), max(1, int(appends/10)))
	srv.latency = c.Latency.Std()
	srv.lagDelaysCalls = true
	srv.handler = l.handle
	return l
}

func (l *logService) handle(ctx *fasthttp.RequestCtx) {
	segments := pathSegments(ctx)
	switch {
	case len(segments) != 3 || segments[0] != "streams" || segments[2] != "records":
		replyNotFound(ctx)
	case ctx.IsPost():
		l.handleAppend(ctx, segments[1])
	case ctx.IsGet():
		l.handleRead(ctx, segments[1])
	default:
		replyNotFound(ctx)
	}
}

func (l *logService) handleAppend(ctx *fasthttp.RequestCtx, name string) {
	var body appendRequest
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || len(body.Records) == 0 {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", "want {\"records\":[{\"id\",\"data\"}]} with at least one record")
		return
	}
	r := l.limiter.Reserve()
	if wait := r.Delay(); wait > maxAppendWait {
		r.Cancel()
		replyRetryAfter(ctx, wait, "append_rate", "more appends a second than the log service takes")
		return
	}
	l.srv.sleep(r.Delay())
	replyJSON(ctx, fasthttp.StatusOK, map[string][]uint64{"offsets": l.append(name, body)})
}

// append adds the records to a stream, wakes its readers and returns the offsets
// of the records.
func (l *logService) append(name string, body appendRequest) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.trimmedStream(name)
	var offsets []uint64
	for _, in := range body.Records {
		offset := s.endOffset()
		s.records = append(s.records, logRecord{Offset: offset, ID: in.ID, Time: l.now(), Data: in.Data})
		offsets = append(offsets, offset)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offsets
}

// handleRead responds with the records from the offset "from" on. If there are
// none it waits for an append, for the duration "wait" at most.
func (l *logService) handleRead(ctx *fasthttp.RequestCtx, name string) {
	from, fromOK := queryUint(ctx, "from", 0)
	limit, limitOK := queryUint(ctx, "limit", maxReadRecords)
	var wait time.Duration
	var err error
	if raw := ctx.QueryArgs().Peek("wait"); raw != nil {
		wait, err = time.ParseDuration(string(raw))
	}
	if !fromOK || !limitOK || err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "bad_request", "want from and limit as numbers and wait as a duration such as 2s")
		return
	}
	timeout := time.NewTimer(min(wait, maxPollWait))
	defer timeout.Stop()
	for {
		page, changed := l.readPage(name, from, int(min(limit, maxReadRecords)))
		if len(page.Records) > 0 || wait <= 0 {
			replyJSON(ctx, fasthttp.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			wait = 0
		case <-l.srv.ctx.Done():
			wait = 0
		}
	}
}

// readPage returns the records from the offset from on, or from the oldest retained
// one if that is later, and a channel that is closed at the next append.
func (l *logService) readPage(name string, from uint64, limit int) (logPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.trimmedStream(name)
	page := logPage{First: s.firstOffset, End: s.endOffset(), Records: []logRecord{}}
	start := min(max(from, s.firstOffset), page.End) - s.firstOffset
	records := s.records[start:]
	if len(records) > limit {
		records = records[:limit]
	}
	page.Records = append(page.Records, records...)
	page.Next = s.firstOffset + start + uint64(len(records))
	return page, s.changed
}

// trimmedStream returns the named stream, without the records past retention or
// above maxStreamRecords. It creates a stream that does not exist.
func (l *logService) trimmedStream(name string) *stream {
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
	s.firstOffset += uint64(n)
	return s
}

// endOffset returns the offset of the next append.
func (s *stream) endOffset() uint64 { return s.firstOffset + uint64(len(s.records)) }
