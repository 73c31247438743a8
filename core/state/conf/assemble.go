package conf

import "cicadastand.dev/core/state/stream"

// Assembler builds the state from a log whose oldest records have been trimmed. It
// waits for a complete checkpoint and applies the records after its offset.
type Assembler struct {
	records []stream.Record
	parts   map[string][]*Checkpoint
}

// NewAssembler returns an assembler without records.
func NewAssembler() *Assembler {
	return &Assembler{parts: make(map[string][]*Checkpoint)}
}

// Add adds the next record of the log. It returns the state once a checkpoint is
// complete and all records after the checkpoint's offset have been added.
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

// covers reports whether all records after offset at have been added.
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
