// Package pack splits records into segments, so that hosts pass a large record on to each
// other in small messages: only the segments that the receiver lacks, in any order, from any
// host that has them. A transfer that breaks off loses nothing of what has arrived.
//
// Segments end where their content says so, not at fixed offsets. A change in one place of a
// record therefore changes the segments around it only.
package pack

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// ID identifies a segment by a hash of its content.
type ID [16]byte

// IDFrom returns the ID with the given bytes, and false if their number is wrong.
func IDFrom(raw []byte) (ID, bool) {
	var id ID
	return id, copy(id[:], raw) == len(id) && len(raw) == len(id)
}

func newID(raw []byte) ID {
	sum := sha256.Sum256(raw)
	return ID(sum[:len(ID{})])
}

// Record is a value under a key.
type Record struct {
	Key   string
	Value []byte
}

// Segment describes a segment of a value.
type Segment struct {
	ID ID
	// Size is the number of bytes.
	Size int
}

// RecordOutline lists the segments of a record in order.
type RecordOutline struct {
	Key      string
	Segments []Segment
}

// Outline lists the segments of a set of records.
type Outline []RecordOutline

// maxRecordBytes limits the records of an outline. A host holds each of them in memory.
const maxRecordBytes = 32 << 20

// errInvalidOutline reports an outline that no host makes.
var errInvalidOutline = errors.New("segments are larger than allowed")

// Check returns an error if the segments of an outline are larger than those that Add makes.
func (o Outline) Check() error {
	for _, s := range o.segments() {
		if s.Size <= 0 || s.Size > maxSegment {
			return fmt.Errorf("segment of %d bytes: %w", s.Size, errInvalidOutline)
		}
	}
	if o.Bytes() > maxRecordBytes {
		return fmt.Errorf("records of %d bytes: %w", o.Bytes(), errInvalidOutline)
	}
	return nil
}

// Bytes returns the size of the records.
func (o Outline) Bytes() int {
	return lo.SumBy(o.segments(), func(s Segment) int { return s.Size })
}

// Fingerprint returns a hash of the records that does not depend on their order, nor on records
// without a value: they were deleted, and not every host has seen them. It is not 0.
func (o Outline) Fingerprint() uint64 {
	sum := uint64(1)
	for _, r := range o {
		if len(r.Segments) == 0 {
			continue
		}
		h := xxhash.New()
		// Writes to a hash don't fail.
		_, _ = h.WriteString(r.Key)
		for _, s := range r.Segments {
			_, _ = h.Write(s.ID[:])
		}
		sum += h.Sum64()
	}
	return max(1, sum)
}

func (o Outline) segments() []Segment {
	return lo.FlatMap(o, func(r RecordOutline, _ int) []Segment { return r.Segments })
}

const (
	// minSegment and maxSegment bound the size of a segment. On a link of 10 Mbit/s, another
	// message waits for at most 26 ms behind one of the largest.
	minSegment = 4 << 10
	maxSegment = 32 << 10
	// boundaryMask selects the bits that are 0 at the end of a segment. Segments have 8 KiB
	// more than minSegment on average.
	boundaryMask = uint64(8<<10-1) << 32
)

// split returns the segments of a value: the positions depend on the bytes before them alone.
func split(value []byte) [][]byte {
	var out [][]byte
	for len(value) > 0 {
		n := boundary(value)
		out = append(out, value[:n:n])
		value = value[n:]
	}
	return out
}

// boundary returns the length of the first segment.
func boundary(value []byte) int {
	end := min(len(value), maxSegment)
	var hash uint64
	for i := min(len(value), minSegment); i < end; i++ {
		// The shift makes a byte lose its influence after 64 more.
		hash = hash<<1 + gear[value[i]]
		if hash&boundaryMask == 0 {
			return i + 1
		}
	}
	return end
}

// gear holds a random number for each byte. All hosts must use the same.
var gear = func() (out [256]uint64) {
	for i := range out {
		out[i] = xxhash.Sum64(binary.BigEndian.AppendUint32(nil, uint32(i)))
	}
	return out
}()
