// Package emulator imitates the users' platform on loopback: its store and its
// targets, with faults that a test turns on and a ledger of what ran. It serves
// the fault soak and trials only.
package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Store is a store with topics of one partition each.
type Store struct {
	// Down makes the store answer 503, Lost makes appends take effect without an
	// answer, and Slow delays each answer by that many milliseconds.
	Down, Lost atomic.Bool
	Slow       atomic.Int64

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed at the next append
}

type topic struct {
	first   uint64
	records [][]byte
	newest  map[string]newest
}

type newest struct {
	value  []byte
	offset uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]newest)}
		s.topics[name] = t
	}
	return t
}

// Put appends a record of key; without a value the key is removed.
func (s *Store) Put(name, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.append(name, append(content, value...))
}

func (s *Store) append(name string, content []byte) {
	s.appendAt(name, "", content)
}

// appendAt appends unless at is given and is not the offset of the record.
func (s *Store) appendAt(name, at string, content []byte) (offset uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = t.first + uint64(len(t.records))
	if at != "" && at != strconv.FormatUint(offset, 10) {
		return offset, false
	}
	t.records = append(t.records, content)
	key, value := string(content[1:1+content[0]]), content[1+content[0]:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newest{value, offset}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, true
}

// Trim forgets all records but the newest of each key.
func (s *Store) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first += uint64(len(t.records))
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
		time.Sleep(time.Duration(s.Slow.Load()) * time.Millisecond)
		if s.Down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     uint64
	}
	answer := struct {
		Items   []item
		HasMore bool
		End     uint64
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	for key, n := range t.newest {
		answer.Items = append(answer.Items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	answer.End = t.first + uint64(len(t.records))
	s.mu.Unlock()
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		panic(http.ErrAbortHandler) // the reader left
	}
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs")) // absent: 0
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("Topic"))
		first, end, changed := t.first, t.first+uint64(len(t.records)), s.changed
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(records) > 0 || wait == 0 {
			writeRecords(w, first, end, records)
			return
		}
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, first, end uint64, records [][]byte) {
	b := binary.BigEndian.AppendUint64(nil, end)
	b = binary.BigEndian.AppendUint64(b, first)
	for _, content := range records {
		b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
		b = append(b, content...)
	}
	if _, err := w.Write(b); err != nil {
		panic(http.ErrAbortHandler) // the reader left
	}
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil || len(b) < 6 {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	offset, ok := s.appendAt(r.URL.Query().Get("Topic"), r.URL.Query().Get("At"), b[4:4+binary.BigEndian.Uint32(b)])
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if s.Lost.Load() {
		panic(http.ErrAbortHandler)
	}
	if err := json.NewEncoder(w).Encode(map[string]uint64{"Offset": offset, "End": offset + 1}); err != nil {
		panic(http.ErrAbortHandler) // the writer left
	}
}
