package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log with keyed topics. It serves
// the calls that the pages describe and the router uses.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	era    int64
	addr   string
	server *http.Server
	reads  int
	writes int
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
	changed chan struct{}
}

type keyed struct {
	value  []byte
	offset int
}

func newStore(ip string) (*store, error) {
	s := &store{topics: map[string]*topic{}, era: 1}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]keyed{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(name string, record []byte) {
	if strings.HasPrefix(name, "keyed.") && len(record) > 0 && int(record[0]) < len(record) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		delete(t.newest, key)
		if len(value) > 0 {
			t.newest[key] = keyed{value, len(t.records)}
		}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes the value of a key; a nil value drops the key.
func (s *store) put(name, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, raw...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(name, record)
}

// ServeHTTP serves the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if r.Method == http.MethodGet {
		s.reads++
	} else {
		s.writes++
	}
	s.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r, name, q.Get("at"))
	case "GET /api/log-read":
		s.read(w, r, name)
	case "GET /api/log-newest":
		s.newestOf(w, name, q.Get("after"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, name, at string) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	offset := len(t.records)
	if at != "" && at != strconv.Itoa(offset) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, offset)
		return
	}
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		t.add(name, append([]byte(nil), raw[4:4+n]...))
		raw = raw[4+n:]
	}
	end := len(t.records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, end)
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name)
		changed, end := t.changed, len(t.records)
		if from > end {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, record := range t.records[from:] {
			body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
			body = append(body, record...)
		}
		s.mu.Unlock()
		if from < end || ms == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			ms = 0
		}
	}
}

func (s *store) newestOf(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	items := []item{}
	for key, e := range t.newest {
		if key > after {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(e.value), e.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": end})
}
