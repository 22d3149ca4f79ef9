package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It has the calls of PROTOCOL.md that an entry
// makes, on topics of one partition, and is sound: it answers at once and loses nothing.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced at each append
}

// topic is a log of keyed records.
type topic struct {
	records [][]byte // each with the length of its key, the key and the value
	newest  map[string]newest
}

type newest struct {
	value  []byte
	offset int
}

func newStore() *store { return &store{topics: make(map[string]*topic), changed: make(chan struct{})} }

// put appends a record. An empty value removes the key.
func (s *store) put(name, key string, value []byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	record := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(record, value...))
	offset = len(t.records) - 1
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newest{value, offset}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(t.records)
}

func (s *store) putJSON(name, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(name, key, b)
}

// topic is called with the store locked.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: make(map[string]newest)}
	}
	return s.topics[name]
}

// serve serves the calls of the system on a listener until it is closed. The result closes the
// listener and all channels.
func (s *store) serve(ln net.Listener) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.list)
	server := &http.Server{Handler: mux}
	go server.Serve(ln)
	return server
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		answer(w, http.StatusForbidden, map[string]string{"Error": "not yours"})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if at := r.URL.Query().Get("At"); at != "" {
		s.mu.Lock()
		end := len(s.topic(name).records)
		s.mu.Unlock()
		if at != strconv.Itoa(end) {
			answer(w, http.StatusPreconditionFailed, map[string]int{"End": end})
			return
		}
	}
	first, end := -1, 0
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || 4+n > len(body) || 1+int(body[4]) > n {
			answer(w, http.StatusBadRequest, map[string]string{"Error": "record"})
			return
		}
		content := body[4 : 4+n]
		key := 1 + int(content[0])
		var offset int
		offset, end = s.put(name, string(content[1:key]), slices.Clone(content[key:]))
		if first < 0 {
			first = offset
		}
		body = body[4+n:]
	}
	answer(w, http.StatusOK, map[string]int{"Offset": max(0, first), "End": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		records, changed := s.topic(q.Get("Topic")).records, s.changed
		s.mu.Unlock()
		if from >= len(records) && waiting {
			select {
			case <-changed:
			case <-deadline:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range records[min(from, len(records)):] {
			out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
			out = append(out, record...)
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(out)
		return
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     int
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"))
	items := []item{}
	for key, n := range t.newest {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Items": items, "HasMore": false, "End": end})
}
