package conf

import "cicadastand.dev/core/state/stream"

// Assembler builds a state from a log whose first records are gone. It waits
// for a complete checkpoint and applies the records that follow its offset.
type Assembler struct {
	records []stream.Record
	parts   map[string][]*Checkpoint
}

// NewAssembler returns an assembler that has read nothing.
func NewAssembler() *Assembler {
	return &Assembler{parts: make(map[string][]*Checkpoint)}
}

// Add takes the next record of the log, and returns the state once it is known.
func (a *Assembler) Add(r stream.Record) (*State, bool) {
	a.records = append(a.records, r)
	rec, err := Decode(r.Data)
	if err != nil || rec.Kind != KindCheckpoint || rec.Checkpoint == nil {
		return nil, false
	}
	parts := append(a.parts[rec.ID], rec.Checkpoint)
	a.parts[rec.ID] = parts
	if !complete(parts) || !a.covers(rec.Checkpoint.At) {
		return nil, false
	}
	return a.build(parts)
}

// covers reports whether no record between the checkpoint and the first one read is missing.
func (a *Assembler) covers(at uint64) bool { return a.records[0].Offset <= at+1 }

func (a *Assembler) build(parts []*Checkpoint) (*State, bool) {
	snap := Snapshot{Offset: parts[0].At}
	for _, p := range parts {
		snap.Documents = append(snap.Documents, p.Documents...)
	}
	s := New()
	if _, err := s.Restore(snap); err != nil {
		return nil, false
	}
	for _, r := range a.records {
		s.Apply(r)
	}
	return s, true
}

func complete(parts []*Checkpoint) bool {
	seen := make(map[int]bool)
	for _, p := range parts {
		if p.At == parts[0].At {
			seen[p.Part] = true
		}
	}
	return len(seen) == parts[0].Parts
}
