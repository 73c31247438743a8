// Package memdb is an in-memory test double of the platform's metadata store: an
// append-only log with keyed topics, as the platform's documentation describes it.
package memdb

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWait is the longest time that a read waits for a record.
const maxWait = 30 * time.Second

// keyedPrefix is the prefix of the names of topics whose records have keys.
const keyedPrefix = "keyed."

// Store serves the metadata store's HTTP interface. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// era counts how often the store was restored from a copy, from 1.
	era int64
	// fault chooses the fault to inject into a call; nil injects none.
	fault func(method, topic string) Fault
}

// Fault is an injected fault of a call.
type Fault int

// The faults.
const (
	// None serves the call.
	None Fault = iota
	// Reject returns 503 and has no effect.
	Reject
	// LoseResponse performs an append and then closes the connection without a response.
	LoseResponse
)

type topic struct {
	records [][]byte
	// first is the offset of the oldest retained record.
	first int64
	// newest holds the newest record of each key of a keyed topic.
	newest map[string]entry
	// changed is closed and replaced at each append.
	changed chan struct{}
}

type entry struct {
	value  []byte
	offset int64
}

// New returns an empty store.
func New() *Store { return &Store{topics: make(map[string]*topic), era: 1} }

// Copy is the content of a store at a moment.
type Copy struct{ topics map[string]*topic }

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Copy{topics: make(map[string]*topic, len(s.topics))}
	for name, t := range s.topics {
		out.topics[name] = t.clone()
	}
	return out
}

// Restore replaces the content by a copy and begins a new era. What was written since is
// lost, and its offsets are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for _, t := range s.topics {
		close(t.changed)
	}
	s.topics = make(map[string]*topic, len(c.topics))
	for name, t := range c.topics {
		s.topics[name] = t.clone()
	}
}

func (t *topic) clone() *topic {
	return &topic{records: slices.Clone(t.records), first: t.first, newest: maps.Clone(t.newest), changed: make(chan struct{})}
}

// SetFault sets the function that chooses the fault of each later call; nil for no faults.
func (s *Store) SetFault(fault func(method, topic string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Put writes the value of a key of a keyed topic. A nil value deletes the key, a
// []byte is written as it is, and any other value is encoded as JSON.
func (s *Store) Put(name, key string, value any) error {
	record := append([]byte{byte(len(key))}, key...)
	switch v := value.(type) {
	case nil:
	case []byte:
		record = append(record, v...)
	default:
		raw, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode value of %s: %w", key, err)
		}
		record = append(record, raw...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).appendRecord(name, record)
	return nil
}

// Trim deletes all records of a topic. A keyed topic still returns the newest value of each key.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Records returns the number of records ever appended to a topic.
func (s *Store) Records(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).end()
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]entry), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (t *topic) appendRecord(name string, record []byte) {
	if strings.HasPrefix(name, keyedPrefix) && len(record) > 0 && int(record[0])+1 <= len(record) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		delete(t.newest, key)
		if len(value) > 0 {
			t.newest[key] = entry{value: value, offset: t.end()}
		}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP serves the metadata store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	w = &eraWriter{ResponseWriter: w, s: s}
	injected := None
	if fault != nil {
		injected = fault(r.Method, name)
	}
	switch {
	case injected == Reject:
		http.Error(w, "turned away", http.StatusServiceUnavailable)
	case r.URL.Path == "/api/log-append":
		s.appendRecords(w, r, name, injected)
	case r.URL.Path == "/api/log-read":
		s.read(w, r, name)
	case r.URL.Path == "/api/log-newest":
		s.serveNewest(w, name)
	default:
		http.NotFound(w, r)
	}
}

// eraWriter adds the era to a response, as it is when the response is sent.
type eraWriter struct {
	http.ResponseWriter
	s *Store
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.setEra()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(p []byte) (int, error) {
	w.setEra()
	return w.ResponseWriter.Write(p)
}

func (w *eraWriter) setEra() {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(w.s.era, 10))
}

func (s *Store) appendRecords(w http.ResponseWriter, r *http.Request, name string, injected Fault) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	offset := t.end()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(offset, 10) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, offset)
		return
	}
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		t.appendRecord(name, raw[4:4+n])
		raw = raw[4+n:]
	}
	end := t.end()
	s.mu.Unlock()
	if injected == LoseResponse {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, end)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.NewTimer(min(maxWait, time.Duration(ms)*time.Millisecond))
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name)
		changed := t.changed
		body, status := t.page(from)
		s.mu.Unlock()
		if status != http.StatusNoContent || ms == 0 {
			writePage(w, status, body)
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

func writePage(w http.ResponseWriter, status int, body []byte) {
	if status == http.StatusNoContent {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// page returns the body and status of a read from an offset: StatusNoContent if it
// has no records yet, StatusGone if the offset is trimmed or was never reached.
func (t *topic) page(from int64) ([]byte, int) {
	if from < t.first || from > t.end() {
		return fmt.Appendf(nil, `{"first":%d}`, t.first), http.StatusGone
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	if from >= t.end() {
		return body, http.StatusNoContent
	}
	for _, record := range t.records[from-t.first:] {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, http.StatusOK
}

func (s *Store) serveNewest(w http.ResponseWriter, name string) {
	type row struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	rows := []row{}
	for key, e := range t.newest {
		rows = append(rows, row{Key: key, Value: base64.StdEncoding.EncodeToString(e.value), Offset: e.offset})
	}
	end := t.end()
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": rows, "has_more": false, "end": end})
}
