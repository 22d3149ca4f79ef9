package platformclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
)

// LogClient is a client of the log service. It implements logstream.Log.
type LogClient struct{ endpoint *endpoint }

var _ logstream.Log = (*LogClient)(nil)

// NewLogClient returns a client of the log service at the URL base.
func NewLogClient(base string) (*LogClient, error) {
	e, err := newEndpoint("log", base)
	if err != nil {
		return nil, err
	}
	return &LogClient{endpoint: e}, nil
}

type appendBody struct {
	Records []appendRecord `json:"records"`
}

type appendRecord struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// Append implements logstream.Log. Calls that sent nothing and responses with a 4xx
// status other than 408 certainly had no effect, and return ErrNotAppended. After any
// other error the record may be in the stream now or later.
func (l *LogClient) Append(ctx context.Context, stream string, e logstream.Entry) (uint64, error) {
	body, err := json.Marshal(appendBody{Records: []appendRecord{{ID: e.ID, Data: e.Data}}})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", logstream.ErrNotAppended, err)
	}
	resp, err := l.endpoint.call(ctx, CallTimeout, http.MethodPost, recordsPath(stream), nil, body)
	if errors.Is(err, ErrUnreachable) {
		return 0, fmt.Errorf("%w: %w", logstream.ErrNotAppended, err)
	}
	if err != nil {
		return 0, err
	}
	if resp.status != http.StatusOK {
		err := error(newStatusError(resp))
		if resp.status >= 400 && resp.status < 500 && resp.status != http.StatusRequestTimeout {
			err = fmt.Errorf("%w: %w", logstream.ErrNotAppended, err)
		}
		return 0, err
	}
	var result struct {
		Offsets []uint64 `json:"offsets"`
	}
	if err := json.Unmarshal(resp.body, &result); err != nil {
		return 0, fmt.Errorf("decode append response: %w", err)
	}
	if len(result.Offsets) != 1 {
		return 0, fmt.Errorf("append response has %d offsets, want 1", len(result.Offsets))
	}
	return result.Offsets[0], nil
}

type readBody struct {
	First   *uint64      `json:"first"`
	Next    *uint64      `json:"next"`
	End     *uint64      `json:"end"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset uint64    `json:"offset"`
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Read implements logstream.Log.
func (l *LogClient) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (logstream.Page, error) {
	query := url.Values{"from": {strconv.FormatUint(from, 10)}, "limit": {strconv.Itoa(limit)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	resp, err := l.endpoint.call(ctx, wait+CallTimeout, http.MethodGet, recordsPath(stream)+"?"+query.Encode(), nil, nil)
	if err != nil {
		return logstream.Page{}, err
	}
	if resp.status != http.StatusOK {
		return logstream.Page{}, fmt.Errorf("read stream %s: %w", stream, newStatusError(resp))
	}
	page, err := decodePage(resp.body, from)
	if err != nil {
		return logstream.Page{}, fmt.Errorf("read stream %s: %w", stream, err)
	}
	return page, nil
}

// decodePage decodes a page that was read at offset from. It checks that the offsets of
// the records increase, start at from or later and stay below the next offset.
// Otherwise processes that fold the stream could reach different states.
func decodePage(body []byte, from uint64) (logstream.Page, error) {
	var b readBody
	if err := json.Unmarshal(body, &b); err != nil {
		return logstream.Page{}, err
	}
	if b.First == nil || b.Next == nil || b.End == nil {
		return logstream.Page{}, errors.New("field first, next or end is missing")
	}
	page := logstream.Page{First: *b.First, Next: *b.Next, End: *b.End, Records: make([]logstream.Record, len(b.Records))}
	minOffset := max(from, page.First)
	for i, r := range b.Records {
		if r.Offset < minOffset || r.Offset >= page.Next {
			return logstream.Page{}, fmt.Errorf("record offset %d is out of order or not below the next offset", r.Offset)
		}
		minOffset = r.Offset + 1
		page.Records[i] = logstream.Record(r)
	}
	// The service may return next unchanged from the request when the record at from is
	// no longer retained.
	page.Next = max(page.Next, minOffset)
	if page.Next > page.End && len(page.Records) > 0 {
		return logstream.Page{}, fmt.Errorf("next offset %d is after the end offset %d", page.Next, page.End)
	}
	return page, nil
}

// recordsPath returns the URL path of the records of a stream.
func recordsPath(stream string) string { return "/streams/" + url.PathEscape(stream) + "/records" }
