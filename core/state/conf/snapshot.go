package conf

import (
	"encoding/json"
	"fmt"
	"time"

	"cicadastand.dev/core/state/fleet"
)

// Snapshot is the whole state after the record at an offset. Hosts without state are
// initialized with it, and it is appended to the log in the form of checkpoints.
type Snapshot struct {
	Offset    uint64     `json:"offset"`
	Documents []Document `json:"documents"`
	Heartbeat time.Time  `json:"heartbeat,omitzero"`
}

// Snapshot returns the current state.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Offset: s.offset, Documents: s.Documents(), Heartbeat: s.lastHeartbeat}
}

// Encode encodes the snapshot as JSON.
func (s Snapshot) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// DecodeSnapshot decodes a snapshot from JSON.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return s, nil
}

// Restore replaces the state by a snapshot if the snapshot is newer, and reports
// whether it did. If a document can't be parsed, the state does not change.
func (s *State) Restore(snap Snapshot) (bool, error) {
	if snap.Offset <= s.offset {
		return false, nil
	}
	fresh := New()
	for _, d := range snap.Documents {
		p, err := parse(d.Name, d.Text)
		if err != nil {
			return false, fmt.Errorf("restore %s: %w", d.Name, err)
		}
		fresh.setDocument(d, p, false)
	}
	fresh.offset = snap.Offset
	fresh.history = s.history
	fresh.lastHeartbeat = snap.Heartbeat
	if s.lastHeartbeat.After(fresh.lastHeartbeat) {
		fresh.lastHeartbeat = s.lastHeartbeat
	}
	*s = *fresh
	return true, nil
}

// Checkpoints returns the snapshot as checkpoint records with at most maxBytes of
// document text each. A larger document gets a record of its own.
func (s Snapshot) Checkpoints(id string, maxBytes int) []Record {
	groups := [][]Document{nil}
	size := 0
	for _, d := range s.Documents {
		if size > 0 && size+len(d.Text) > maxBytes {
			groups = append(groups, nil)
			size = 0
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], d)
		size += len(d.Text)
	}
	out := make([]Record, 0, len(groups))
	for i, docs := range groups {
		cp := &Checkpoint{At: s.Offset, Part: i, Parts: len(groups), Documents: docs}
		out = append(out, Record{Kind: KindCheckpoint, ID: id, Checkpoint: cp})
	}
	return out
}

// View is an immutable view of the current configuration.
type View struct {
	// Offset is the offset of the last record that the view includes.
	Offset uint64
	Fleet  *fleet.Fleet
	// FleetVersion is the version of the fleet description.
	FleetVersion  uint64
	contracts     map[string]*fleet.Contract
	accountByHash map[string]string
}

// View returns a view of the current state. The view shares the maps of the state, which
// are copied before the next change.
func (s *State) View() *View {
	s.shared = true
	return &View{Offset: s.offset, Fleet: s.fleet, FleetVersion: s.docs[FleetDocument].Version, contracts: s.contracts, accountByHash: s.accountByHash}
}

// Contract returns the contract of an account.
func (v *View) Contract(account string) (*fleet.Contract, bool) {
	c, ok := v.contracts[account]
	return c, ok
}

// Contracts returns the number of contracts.
func (v *View) Contracts() int { return len(v.contracts) }

// Authenticate returns the contract of the account that a key belongs to.
func (v *View) Authenticate(key string) (*fleet.Contract, bool) {
	account, ok := v.accountByHash[fleet.HashKey(key)]
	if !ok {
		return nil, false
	}
	return v.Contract(account)
}
