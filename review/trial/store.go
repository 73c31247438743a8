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
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps all records, and answers as
// PROTOCOL.md says. It knows no faults.
type store struct {
	addr   string
	server *http.Server

	mu     sync.Mutex
	topics map[string]*topic
	// grown is closed at each append.
	grown chan struct{}
	// era is the value of the header Store-Era.
	era int
	// again holds what the operator and the engines wrote last, by topic and key.
	again map[[2]string][]byte
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
}

type keyed struct {
	value  []byte
	offset int64
}

func startStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), topics: make(map[string]*topic), grown: make(chan struct{}), era: 1, again: make(map[[2]string][]byte)}
	s.serve(l)
	return s, nil
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newestOf)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		mux.ServeHTTP(w, r)
	})}
	server := s.server
	go func() { _ = server.Serve(l) }()
}

// lengths returns the number of records of each topic: a copy of the store.
func (s *store) lengths() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	for name, t := range s.topics {
		out[name] = len(t.records)
	}
	return out
}

// restore lets the store be away for a time and come back from a copy. What the operator and the
// engines wrote is written again a time after the store is back; 0 for before it serves.
func (s *store) restore(snapshot map[string]int, away, rewrite time.Duration) error {
	_ = s.server.Close()
	time.Sleep(away) // the store is away
	s.mu.Lock()
	s.era++
	old := s.topics
	s.topics = make(map[string]*topic)
	for name, n := range snapshot {
		for _, record := range old[name].records[:n] {
			s.add(name, record)
		}
	}
	if rewrite == 0 {
		s.addAgain()
	}
	s.mu.Unlock()
	if rewrite > 0 {
		time.AfterFunc(rewrite, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.addAgain()
			close(s.grown)
			s.grown = make(chan struct{})
		})
	}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.serve(l)
	return nil
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]keyed)}
		s.topics[name] = t
	}
	return t
}

func (s *store) add(name string, record []byte) int64 {
	t := s.topic(name)
	at := int64(len(t.records))
	t.records = append(t.records, record)
	if strings.HasPrefix(name, "keyed.") && len(record) > 0 && int(record[0]) < len(record) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{value: value, offset: at}
		}
	}
	return at
}

// addAgain writes what the operator and the engines wrote last; the caller holds the lock.
func (s *store) addAgain() {
	for at, record := range s.again {
		s.add(at[0], record)
	}
}

// put writes a record of the operator or of an engine.
func (s *store) put(name, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append(append([]byte{byte(len(key))}, key...), raw...)
	s.again[[2]string{name, key}] = record
	s.add(name, record)
	close(s.grown)
	s.grown = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		if n > len(raw)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, raw = append(records, raw[4:4+n]), raw[4+n:]
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := int64(len(t.records))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(first, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": first})
		return
	}
	for _, record := range records {
		s.add(name, record)
	}
	close(s.grown)
	s.grown = make(chan struct{})
	writeJSON(w, http.StatusOK, map[string]int64{"offset": first, "end": int64(len(t.records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, grown := s.topic(q.Get("topic")), s.grown
		if from > int64(len(t.records)) || from < 0 {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"first": 0})
			return
		}
		records, end := slices.Clone(t.records[from:]), len(t.records)
		s.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-grown:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestOf(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items, end := []item{}, int64(len(t.records))
	for key, k := range t.newest {
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(k.value), Offset: k.offset})
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	after := r.URL.Query().Get("after")
	items = slices.DeleteFunc(items, func(i item) bool { return after != "" && i.Key <= after })
	more := len(items) > 500
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(500, len(items))], "has_more": more, "end": end})
}
