// Package platform is a test double of the platform's services: an append-only log
// with limited retention, a list of hosts that lags behind, and a store for offloaded
// KV cache.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"golang.org/x/time/rate"

	"cicadastand.dev/core/proto/logapi"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/stand/fault"
)

// Config describes the platform.
type Config struct {
	Clock clock.Service
	// Retention is how long the log keeps records; 0 keeps all.
	Retention time.Duration
	// AppendsPerSecond limits the appends to all streams together.
	AppendsPerSecond float64
	// ListLag is the age of the list of hosts when it is returned.
	ListLag time.Duration
	Seed    uint64
}

const (
	maxRecordBytes = 1 << 20
	appendBurst    = 100
	maxReadWait    = 30 * time.Second
	maxPieces      = 100_000
	pieceLifetime  = 10 * time.Minute
)

// Platform is the test double. It is safe for concurrent use.
type Platform struct {
	cfg       Config
	faults    *fault.Injector
	limiter   *rate.Limiter
	mu        sync.Mutex
	streams   map[string]*log
	hostLists []hostList
	pieces    *expirable.LRU[string, struct{}]
}

type log struct {
	first   uint64
	records []logapi.RecordBody
	// appended is closed and replaced at each append.
	appended chan struct{}
}

type hostList struct {
	at    time.Time
	hosts []logapi.Host
}

// New returns a platform with an empty log.
func New(cfg Config) *Platform {
	return &Platform{
		cfg:     cfg,
		faults:  fault.NewInjector(cfg.Clock, cfg.Seed),
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), appendBurst),
		streams: make(map[string]*log),
		pieces:  expirable.NewLRU[string, struct{}](maxPieces, nil, pieceLifetime),
	}
}

// Faults returns the platform's fault injector.
func (p *Platform) Faults() *fault.Injector { return p.faults }

// Handler serves the platform's HTTP interface and, under /control/, the calls that control the
// test double.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", p.appendRecord)
	mux.HandleFunc("GET /v1/streams/{stream}/records", p.readRecords)
	mux.HandleFunc("GET /v1/hosts", p.listHosts)
	mux.HandleFunc("PUT /v1/kept/{key}", p.putPiece)
	mux.HandleFunc("GET /v1/kept/{key}", p.getPiece)
	mux.HandleFunc("PUT /control/hosts", p.setHosts)
	mux.Handle("/control/faults", p.faults)
	mux.HandleFunc("POST /control/trim", p.trimAll)
	return mux
}

func (p *Platform) appendRecord(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes+1))
	if err != nil || len(data) > maxRecordBytes {
		replyError(w, http.StatusRequestEntityTooLarge, "a record holds at most 1 MiB", 0)
		return
	}
	if p.faults.TakeRejection() {
		replyError(w, http.StatusServiceUnavailable, "the log is down", 0)
		return
	}
	if !p.limiter.AllowN(p.cfg.Clock.Now(), 1) {
		replyError(w, http.StatusTooManyRequests, "too many appends", 0)
		return
	}
	p.faults.Delay(r)
	offset := p.appendTo(r.PathValue("stream"), data)
	if p.faults.TakeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	reply(w, logapi.AppendBody{Offset: offset})
}

func (p *Platform) appendTo(name string, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.stream(name)
	offset := l.first + uint64(len(l.records))
	l.records = append(l.records, logapi.RecordBody{Offset: offset, Time: p.cfg.Clock.Now(), Data: data})
	p.trim(l)
	close(l.appended)
	l.appended = make(chan struct{})
	return offset
}

func (p *Platform) stream(name string) *log {
	l, ok := p.streams[name]
	if !ok {
		l = &log{first: 1, appended: make(chan struct{})}
		p.streams[name] = l
	}
	return l
}

func (p *Platform) trim(l *log) {
	if p.cfg.Retention <= 0 {
		return
	}
	oldest := p.cfg.Clock.Now().Add(-p.cfg.Retention)
	n := 0
	for n < len(l.records) && l.records[n].Time.Before(oldest) {
		n++
	}
	l.drop(n)
}

func (l *log) drop(n int) {
	l.records = slices.Delete(l.records, 0, n)
	l.first += uint64(n)
}

// trimAll deletes all but the newest records of each stream, as retention does over time.
func (p *Platform) trimAll(w http.ResponseWriter, r *http.Request) {
	keep, err := strconv.Atoi(r.URL.Query().Get("keep"))
	if err != nil || keep < 0 {
		replyError(w, http.StatusBadRequest, "keep must be a number", 0)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.streams {
		l.drop(max(0, len(l.records)-keep))
	}
	reply(w, struct{}{})
}

func (p *Platform) readRecords(w http.ResponseWriter, r *http.Request) {
	if p.faults.Get().Down {
		replyError(w, http.StatusServiceUnavailable, "the log is down", 0)
		return
	}
	p.faults.Delay(r)
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(query.Get("limit"))
	waitMs, err3 := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || err2 != nil || err3 != nil || from < 1 || limit < 1 || waitMs < 0 {
		replyError(w, http.StatusBadRequest, "from, limit and wait-ms must be numbers", 0)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxReadWait)
	p.waitFor(r, from, wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.stream(r.PathValue("stream"))
	p.trim(l)
	if from < l.first {
		replyError(w, http.StatusGone, "the offset is no longer kept", l.first)
		return
	}
	at := min(int(from-l.first), len(l.records))
	end := min(at+limit, len(l.records))
	reply(w, logapi.ReadBody{Records: slices.Clone(l.records[at:end]), Next: l.first + uint64(end)})
}

func (p *Platform) waitFor(r *http.Request, from uint64, wait time.Duration) {
	p.mu.Lock()
	l := p.stream(r.PathValue("stream"))
	has := from < l.first+uint64(len(l.records))
	appended := l.appended
	p.mu.Unlock()
	if has || wait <= 0 {
		return
	}
	sub := p.cfg.Clock.Once(wait)
	defer sub.Stop()
	select {
	case <-appended:
	case <-sub.C():
	case <-r.Context().Done():
	}
}

// putPiece stores a piece of offloaded KV cache. The test double stores only its key.
func (p *Platform) putPiece(w http.ResponseWriter, r *http.Request) {
	if p.faults.Get().Down {
		replyError(w, http.StatusServiceUnavailable, "the store is down", 0)
		return
	}
	p.pieces.Add(r.PathValue("key"), struct{}{})
	reply(w, struct{}{})
}

func (p *Platform) getPiece(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.pieces.Get(r.PathValue("key")); !ok || p.faults.Get().Down {
		replyError(w, http.StatusNotFound, "the store has no such piece", 0)
		return
	}
	reply(w, struct{}{})
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	if p.faults.Get().Down {
		replyError(w, http.StatusServiceUnavailable, "the list is down", 0)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := p.cfg.Clock.Now().Add(-p.cfg.ListLag)
	hosts := []logapi.Host{}
	for i, v := range p.hostLists {
		if i == 0 || !v.at.After(asOf) {
			hosts = v.hosts
		}
	}
	reply(w, logapi.HostsBody{Hosts: hosts})
}

func (p *Platform) setHosts(w http.ResponseWriter, r *http.Request) {
	var body logapi.HostsBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		replyError(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLists = append(p.hostLists, hostList{at: p.cfg.Clock.Now(), hosts: body.Hosts})
	reply(w, struct{}{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func replyError(w http.ResponseWriter, status int, message string, first uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(logapi.ErrorBody{Message: message, First: first})
}
