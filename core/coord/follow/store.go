package follow

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/stream"
)

// recentRecords is the number of records retained for peers that are behind.
const recentRecords = 1024

// Store holds the current configuration of this host. It never goes back to an
// earlier offset. It is safe for concurrent use.
//
// Lock order: Store.mu is a leaf; no other lock is taken while it is held.
type Store struct {
	mu    sync.Mutex
	state *conf.State
	// recent holds the latest records applied, for peers.
	recent []stream.Record
	// assembler rebuilds the state from a checkpoint after the log was trimmed; nil
	// at other times.
	assembler *conf.Assembler
	next      uint64
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	view    atomic.Pointer[conf.View]
	source  string
}

// NewStore returns a store without configuration.
func NewStore() *Store {
	s := &Store{state: conf.New(), next: 1, changed: make(chan struct{}), source: "none"}
	s.view.Store(s.state.View())
	return s
}

// View returns the current configuration.
func (s *Store) View() *conf.View { return s.view.Load() }

// Offset returns the offset of the last record applied.
func (s *Store) Offset() uint64 { return s.View().Offset }

// Source returns where the newest state came from: none, log, peer or settings.
func (s *Store) Source() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source
}

// Next returns the offset of the next record to read.
func (s *Store) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Apply processes records read from the log.
func (s *Store) Apply(records []stream.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.applyNext(r)
	}
	if len(records) > 0 {
		s.publish("log")
	}
}

// ApplyPeer processes records received from a peer. It ignores records that don't
// directly follow the current offset.
func (s *Store) ApplyPeer(records []stream.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Offset()
	for _, r := range records {
		if r.Offset == s.state.Offset()+1 {
			s.applyToState(r)
		}
	}
	s.next = max(s.next, s.state.Offset()+1)
	if s.state.Offset() > before {
		s.assembler = nil
		s.publish("peer")
	}
}

// Restore replaces the state by a snapshot if the snapshot is newer.
func (s *Store) Restore(snap conf.Snapshot, source string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer, err := s.state.Restore(snap)
	if err != nil {
		return fmt.Errorf("restore snapshot at %d: %w", snap.Offset, err)
	}
	if !newer {
		return nil
	}
	s.recent = nil
	s.assembler = nil
	s.next = max(s.next, snap.Offset+1)
	s.publish(source)
	return nil
}

// Trimmed begins to rebuild the state from a checkpoint in the log, since the log
// no longer has all records that follow the state.
func (s *Store) Trimmed(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assembler = conf.NewAssembler()
	s.next = first
}

// Since returns the records after an offset, and false if some of them are no
// longer retained.
func (s *Store) Since(offset uint64) ([]stream.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset >= s.state.Offset() {
		return nil, true
	}
	i := slices.IndexFunc(s.recent, func(r stream.Record) bool { return r.Offset == offset+1 })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(s.recent[i:]), true
}

// Snapshot returns a snapshot of the state for a peer or a checkpoint.
func (s *Store) Snapshot() conf.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Snapshot()
}

// Read calls fn with the state while the lock is held; fn must not retain the state.
func (s *Store) Read(fn func(*conf.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.state)
}

// Heartbeat returns the time stamp of the newest heartbeat record.
func (s *Store) Heartbeat() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Heartbeat()
}

// Wait blocks until done returns true for the state, or ctx ends.
func (s *Store) Wait(ctx context.Context, done func(*conf.State) bool) error {
	for {
		s.mu.Lock()
		ok := done(s.state)
		changed := s.changed
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for configuration: %w", ctx.Err())
		}
	}
}

// AwaitConfig blocks until the store has a configuration, or ctx ends.
func (s *Store) AwaitConfig(ctx context.Context) error {
	return s.Wait(ctx, func(st *conf.State) bool { return st.Offset() > 0 })
}

// applyNext applies a record of the log if it is the next one to read; the caller
// holds the lock.
func (s *Store) applyNext(r stream.Record) {
	if r.Offset != s.next {
		return
	}
	s.next++
	if s.assembler == nil {
		s.applyToState(r)
		return
	}
	if state, ok := s.assembler.Add(r); ok && state.Offset() >= s.state.Offset() {
		*s.state = *state
		s.recent = nil
		s.assembler = nil
	}
}

// applyToState applies a record that is newer than the state, and retains it for
// peers; the caller holds the lock.
func (s *Store) applyToState(r stream.Record) {
	if r.Offset <= s.state.Offset() {
		return
	}
	s.state.Apply(r)
	s.recent = append(s.recent, r)
	if len(s.recent) > 2*recentRecords {
		s.recent = slices.Clone(s.recent[len(s.recent)-recentRecords:])
	}
}

// publish updates the view and wakes the waiters if the state has changed; the
// caller holds the lock.
func (s *Store) publish(source string) {
	if s.state.Offset() == s.view.Load().Offset {
		return
	}
	s.source = source
	s.view.Store(s.state.View())
	close(s.changed)
	s.changed = make(chan struct{})
}
