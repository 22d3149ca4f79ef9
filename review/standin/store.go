package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: topics of one partition, which are logs of
// records. It answers as PROTOCOL says, and has no faults.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced with each record
}

type topic struct {
	records [][]byte
	newest  map[string]keyed // by key, of a keyed topic
}

type keyed struct {
	value  []byte
	offset int
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (s *store) serve(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	_ = http.Serve(ln, mux) // ends with the process
}

// topic returns the named topic. s.mu is held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyed)}
		s.topics[name] = t
	}
	return t
}

// put appends a record to a keyed topic, as the operator and the servers do.
func (s *store) put(topicName, key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topicName, append(append([]byte{byte(len(key))}, key...), b...))
	return time.Now()
}

// append appends a record. s.mu is held.
func (s *store) append(topicName string, content []byte) {
	t := s.topic(topicName)
	offset := len(t.records)
	t.records = append(t.records, content)
	if strings.HasPrefix(topicName, "keyed.") && len(content) > int(content[0]) {
		key, value := string(content[1:1+content[0]]), content[1+content[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{value, offset}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     int
	}
	answer := struct {
		Items   []item
		HasMore bool
		End     int
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	for key, k := range t.newest {
		answer.Items = append(answer.Items, item{key, base64.StdEncoding.EncodeToString(k.value), k.offset})
	}
	answer.End = len(t.records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("From"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(q.Get("WaitMs")) // 0 if absent
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := waitMs > 0; ; {
		s.mu.Lock()
		records, changed := s.topic(q.Get("Topic")).records, s.changed
		s.mu.Unlock()
		if from < len(records) || !waiting {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for i := from; i < len(records); i++ {
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(records[i]))), records[i]...)
			}
			_, _ = w.Write(b)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := len(t.records)
	answer := map[string]int{"Offset": first, "End": first}
	w.Header().Set("Content-Type", "application/json")
	if at := q.Get("At"); at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(answer)
		return
	}
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if n > len(b)-4 {
			break
		}
		s.append(name, b[4:4+n])
		b = b[4+n:]
	}
	answer["End"] = len(t.records)
	_ = json.NewEncoder(w).Encode(answer)
}
