package pack

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/samber/lo"
)

// Store holds segments by their content. It is safe for concurrent use.
//
// Lock order: Store.mu is a leaf.
type Store struct {
	mu   sync.Mutex
	held map[ID]*segment
	// writer is reused, since a new one takes longer than the compression of a segment.
	writer *flate.Writer
}

// segment holds the content of a segment, in one form or both.
type segment struct {
	raw []byte
	// packed is compressed when the segment is first sent.
	packed []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	// The level is valid, so there is no error.
	writer, _ := flate.NewWriter(nil, flate.BestSpeed)
	return &Store{held: make(map[ID]*segment), writer: writer}
}

// Add holds the segments of records and returns their outline. The values must not change
// afterwards.
func (s *Store) Add(records []Record) Outline {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Map(records, func(r Record, _ int) RecordOutline {
		return RecordOutline{Key: r.Key, Segments: lo.Map(split(r.Value), func(raw []byte, _ int) Segment {
			id := newID(raw)
			if old, ok := s.held[id]; ok {
				// The bytes of an older value can then be released.
				old.raw = raw
			} else {
				s.held[id] = &segment{raw: raw}
			}
			return Segment{ID: id, Size: len(raw)}
		})}
	})
}

// Keep drops all segments that no outline lists.
func (s *Store) Keep(outlines ...Outline) {
	listed := make(map[ID]bool)
	for _, o := range outlines {
		for _, seg := range o.segments() {
			listed[seg.ID] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = lo.PickBy(s.held, func(id ID, _ *segment) bool { return listed[id] })
}

// Lacking returns the segments of an outline that are not held, each once.
func (s *Store) Lacking(o Outline) []Segment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Uniq(lo.Filter(o.segments(), func(seg Segment, _ int) bool { return s.held[seg.ID] == nil }))
}

// Packed returns the compressed content of a segment; nil if it is not held.
func (s *Store) Packed(id ID) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg := s.held[id]
	if seg == nil {
		return nil, nil
	}
	if seg.packed == nil {
		var out bytes.Buffer
		s.writer.Reset(&out)
		if _, err := s.writer.Write(seg.raw); err != nil {
			return nil, fmt.Errorf("compress segment: %w", err)
		}
		if err := s.writer.Close(); err != nil {
			return nil, fmt.Errorf("compress segment: %w", err)
		}
		seg.packed = out.Bytes()
	}
	return seg.packed, nil
}

// ErrCorrupt reports bytes that are not the content of a segment.
var ErrCorrupt = errors.New("bytes are not the content of the segment")

// Put holds a segment of which another host has sent the compressed content.
func (s *Store) Put(seg Segment, packed []byte) error {
	reader := flate.NewReader(bytes.NewReader(packed))
	// One byte more tells a longer content from the expected one.
	raw, err := io.ReadAll(io.LimitReader(reader, int64(seg.Size)+1))
	if err != nil {
		return fmt.Errorf("decompress segment: %w: %w", ErrCorrupt, err)
	}
	if len(raw) != seg.Size || newID(raw) != seg.ID {
		return fmt.Errorf("segment of %d bytes, %d expected: %w", len(raw), seg.Size, ErrCorrupt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[seg.ID] = &segment{raw: raw, packed: packed}
	return nil
}

// Records returns the records of an outline, and false if a segment is not held. The values must
// not change afterwards.
func (s *Store) Records(o Outline) ([]Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(o))
	for _, r := range o {
		value := make([]byte, 0, lo.SumBy(r.Segments, func(seg Segment) int { return seg.Size }))
		for _, seg := range r.Segments {
			held := s.held[seg.ID]
			if held == nil {
				return nil, false
			}
			value = append(value, held.raw...)
			// The bytes are then in memory once.
			held.raw = value[len(value)-len(held.raw) : len(value) : len(value)]
		}
		out = append(out, Record{Key: r.Key, Value: value})
	}
	return out, true
}
