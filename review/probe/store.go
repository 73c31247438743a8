package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: partition 0 of each topic.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	era     int64
	down    bool
	changed chan struct{}
	address string
}

type topic struct {
	records [][]byte
	// newest is the offset of the newest record of each key of a keyed topic.
	newest map[string]int
}

func newStore(address string) *store {
	s := &store{topics: map[string]*topic{}, era: 1, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	must(err)
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	go func() { _ = http.Serve(l, s.wrap(mux)) }()
	return s
}

func (s *store) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(2 * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(name string, record []byte) {
	t.records = append(t.records, record)
	if !strings.HasPrefix(name, "keyed.") {
		return
	}
	n := int(record[0])
	key := string(record[1 : 1+n])
	if len(record) == 1+n {
		delete(t.newest, key)
		return
	}
	t.newest[key] = len(t.records) - 1
}

// put writes a keyed record, as the operator and the engines do.
func (s *store) put(name, key string, value any) {
	raw, err := json.Marshal(value)
	must(err)
	if value == nil {
		raw = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(name, append(append([]byte{byte(len(key))}, key...), raw...))
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyAll returns a copy of all topics.
func (s *store) copyAll() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cloneTopics(s.topics)
}

func cloneTopics(in map[string]*topic) map[string]*topic {
	out := map[string]*topic{}
	for name, t := range in {
		c := &topic{records: append([][]byte(nil), t.records...), newest: map[string]int{}}
		for k, v := range t.newest {
			c.newest[k] = v
		}
		out[name] = c
	}
	return out
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signal()
}

// restore brings the store back from a copy, in a new era.
func (s *store) restore(from map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(from)
	s.era++
	s.signal()
}

// count returns the number of records of a topic.
func (s *store) count(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t := s.topic(name)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	offset := len(t.records)
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		t.add(name, raw[4:4+n])
		raw = raw[4+n:]
	}
	s.signal()
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(waitMs) * time.Millisecond)
	for waited := waitMs == 0; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		t := s.topic(q.Get("topic"))
		if from > len(t.records) {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < len(t.records) || waited {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[from:] {
				if len(out)+len(rec) > 1<<20 {
					break
				}
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	keys := []string{}
	for k := range t.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []map[string]any{}
	for _, k := range keys {
		rec := t.records[t.newest[k]]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(rec[1+int(rec[0]):]), "offset": t.newest[k]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}
