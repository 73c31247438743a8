// Package depot is a stand-in of a platform's metadata store: an append-only log
// with keyed topics, as the platform's pages describe it.
package depot

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWait bounds a read that waits for a record.
const maxWait = 30 * time.Second

// keyedPrefix begins the names of topics whose records have keys.
const keyedPrefix = "keyed."

// Depot is a store. It is safe for concurrent use.
type Depot struct {
	mu     sync.Mutex
	topics map[string]*topic
	// fault decides the fate of a call; nil for none.
	fault func(method, topic string) Fault
}

// Fault is what happens to a call instead of a plain answer.
type Fault int

// The faults.
const (
	// None answers.
	None Fault = iota
	// Refuse answers that nothing was done.
	Refuse
	// LoseAnswer does what was asked and breaks the connection.
	LoseAnswer
)

type topic struct {
	records [][]byte
	// first is the offset of the oldest record that is kept.
	first   int64
	newest  map[string]item
	changed chan struct{}
}

type item struct {
	value  []byte
	offset int64
}

// New returns an empty store.
func New() *Depot { return &Depot{topics: make(map[string]*topic)} }

// SetFault sets what happens to calls from now on.
func (d *Depot) SetFault(fault func(method, topic string) Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// Put writes a key of a keyed topic; a nil value drops it.
func (d *Depot) Put(name, key string, value any) error {
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
	d.mu.Lock()
	defer d.mu.Unlock()
	d.topic(name).add(name, record)
	return nil
}

// Forget drops the history of a topic; keyed topics keep the newest of each key.
func (d *Depot) Forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Records returns how many records a topic has ever had.
func (d *Depot) Records(name string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.topic(name).end()
}

func (d *Depot) topic(name string) *topic {
	t, ok := d.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]item), changed: make(chan struct{})}
		d.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (t *topic) add(name string, record []byte) {
	if strings.HasPrefix(name, keyedPrefix) && len(record) > 0 && int(record[0])+1 <= len(record) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		delete(t.newest, key)
		if len(value) > 0 {
			t.newest[key] = item{value: value, offset: t.end()}
		}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP answers the store's calls.
func (d *Depot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	d.mu.Lock()
	fault := d.fault
	d.mu.Unlock()
	fate := None
	if fault != nil {
		fate = fault(r.Method, name)
	}
	switch {
	case fate == Refuse:
		http.Error(w, "turned away", http.StatusServiceUnavailable)
	case r.URL.Path == "/api/log-append":
		d.appendRecords(w, r, name, fate)
	case r.URL.Path == "/api/log-read":
		d.read(w, r, name)
	case r.URL.Path == "/api/log-newest":
		d.serveNewest(w, name)
	default:
		http.NotFound(w, r)
	}
}

func (d *Depot) appendRecords(w http.ResponseWriter, r *http.Request, name string, fate Fault) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	d.mu.Lock()
	t := d.topic(name)
	offset := t.end()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(offset, 10) {
		d.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, offset)
		return
	}
	for len(raw) >= 4 {
		n := int(binary.BigEndian.Uint32(raw))
		t.add(name, raw[4:4+n])
		raw = raw[4+n:]
	}
	end := t.end()
	d.mu.Unlock()
	if fate == LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, end)
}

func (d *Depot) read(w http.ResponseWriter, r *http.Request, name string) {
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
		d.mu.Lock()
		t := d.topic(name)
		changed := t.changed
		body, status := t.page(from)
		d.mu.Unlock()
		if status != http.StatusNoContent || ms == 0 {
			send(w, status, body)
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

func send(w http.ResponseWriter, status int, body []byte) {
	if status == http.StatusNoContent {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// page returns the records from an offset on; StatusNoContent if there are none.
func (t *topic) page(from int64) ([]byte, int) {
	if from < t.first {
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

func (d *Depot) serveNewest(w http.ResponseWriter, name string) {
	type row struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	d.mu.Lock()
	t := d.topic(name)
	rows := []row{}
	for key, i := range t.newest {
		rows = append(rows, row{Key: key, Value: base64.StdEncoding.EncodeToString(i.value), Offset: i.offset})
	}
	end := t.end()
	d.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": rows, "has_more": false, "end": end})
}
