// Package emulator emulates the users' platform on loopback: its store and its targets,
// with faults that a test turns on and off and a ledger of the requests that ran. It is
// for tests and trials only, above all the fault soak. The servers around a deployment
// with side processes are emulated by package standin.
package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Store emulates the platform's store: topics that are logs of keyed records, with
// one partition each. The content of a record is the length of its key in one
// byte, the key and the value.
type Store struct {
	// Unavailable makes the store respond with status 503. LoseAppendResponses
	// makes it close the connection after an append took effect, without a response.
	Unavailable, LoseAppendResponses atomic.Bool
	// HoldWaitingReads makes reads that ask to wait for a record wait for ever.
	HoldWaitingReads atomic.Bool
	// DelayMs delays each request, in milliseconds.
	DelayMs atomic.Int64

	mu      sync.Mutex
	topics  map[string]*topic
	era     uint64        // rises with each Restore
	changed chan struct{} // closed and replaced on each append
	calls   map[string]int
}

// Calls returns the number of requests for a topic so far.
func (s *Store) Calls(topicName string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[topicName]
}

// topic holds the log of a topic and the latest value of each key. The first
// record of the log has offset firstOffset.
type topic struct {
	firstOffset uint64
	records     [][]byte
	latestByKey map[string]latestValue
}

// latestValue is the value of the latest record of a key, with its offset.
type latestValue struct {
	value  []byte
	offset uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), era: 1, changed: make(chan struct{}), calls: make(map[string]int)}
}

// Copy is the content of a store at some time.
type Copy struct{ topics map[string]*topic }

// Copy returns a copy of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{cloneTopics(s.topics)}
}

// Restore replaces the content of the store by a copy and begins a new era. Reads that
// wait go on waiting for a record at the offset that they ask for.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(c.topics)
	s.era++
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	clones := make(map[string]*topic, len(topics))
	for name, t := range topics {
		clones[name] = &topic{firstOffset: t.firstOffset, records: slices.Clone(t.records), latestByKey: maps.Clone(t.latestByKey)}
	}
	return clones
}

// topic returns the named topic and creates it if needed. The caller holds the
// mutex.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{latestByKey: make(map[string]latestValue)}
		s.topics[name] = t
	}
	return t
}

// Put appends a record of key to a topic; an empty value removes the key. The key
// must be shorter than 255 bytes.
func (s *Store) Put(topicName, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.appendRecord(topicName, append(content, value...))
}

func (s *Store) appendRecord(topicName string, content []byte) {
	s.appendIfOffset(topicName, "", content)
}

// appendIfOffset appends a record unless expectedOffset is given and differs from
// the offset that the record would get. It returns that offset and whether the
// record was appended.
func (s *Store) appendIfOffset(topicName, expectedOffset string, content []byte) (offset uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	offset = t.firstOffset + uint64(len(t.records))
	if expectedOffset != "" && expectedOffset != strconv.FormatUint(offset, 10) {
		return offset, false
	}
	t.records = append(t.records, content)
	key, value := string(content[1:1+content[0]]), content[1+content[0]:]
	if len(value) == 0 {
		delete(t.latestByKey, key)
	} else {
		t.latestByKey[key] = latestValue{value, offset}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, true
}

// TrimLogs removes all records from the logs of all topics. The latest value of
// each key is kept.
func (s *Store) TrimLogs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.firstOffset += uint64(len(t.records))
		t.records = nil
	}
}

// Serve serves the store on ln until it is closed.
func (s *Store) Serve(ln net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	return http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.DelayMs.Load()) * time.Millisecond)
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.calls[r.URL.Query().Get("Topic")]++
		s.mu.Unlock()
		if s.Unavailable.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// handleNewest responds with the latest value of each key of a topic.
func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     uint64
	}
	response := struct {
		Items   []item
		HasMore bool
		End     uint64
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	for key, latest := range t.latestByKey {
		response.Items = append(response.Items, item{key, base64.StdEncoding.EncodeToString(latest.value), latest.offset})
	}
	response.End = t.firstOffset + uint64(len(t.records))
	s.mu.Unlock()
	if err := json.NewEncoder(w).Encode(response); err != nil {
		panic(http.ErrAbortHandler) // the client closed the connection
	}
}

// handleRead responds with the records from the offset From on, or with status
// 410 if the log does not have that offset. If there are no records it waits for
// an append, for WaitMs at most.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("WaitMs")) // 0 if absent or invalid
	if waitMs > 0 && s.HoldWaitingReads.Load() {
		<-r.Context().Done()
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("Topic"))
		first, end, changed := t.firstOffset, t.firstOffset+uint64(len(t.records)), s.changed
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
		}
		s.mu.Unlock()
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(records) > 0 || waitMs == 0 {
			writeRecords(w, first, end, records)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the end offset and the first offset of the log in 8 bytes
// each, then each record with its length in 4 bytes. Integers are big-endian.
func writeRecords(w io.Writer, first, end uint64, records [][]byte) {
	b := binary.BigEndian.AppendUint64(nil, end)
	b = binary.BigEndian.AppendUint64(b, first)
	for _, content := range records {
		b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
		b = append(b, content...)
	}
	if _, err := w.Write(b); err != nil {
		panic(http.ErrAbortHandler) // the client closed the connection
	}
}

// handleAppend appends one record, which follows its length in 4 bytes, or
// responds with status 412 if the offset At is given and is not the next one.
func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil || len(b) < 6 {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	offset, ok := s.appendIfOffset(r.URL.Query().Get("Topic"), r.URL.Query().Get("At"), b[4:4+binary.BigEndian.Uint32(b)])
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if s.LoseAppendResponses.Load() {
		panic(http.ErrAbortHandler)
	}
	if err := json.NewEncoder(w).Encode(map[string]uint64{"Offset": offset, "End": offset + 1}); err != nil {
		panic(http.ErrAbortHandler) // the client closed the connection
	}
}
