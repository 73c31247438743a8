package pack_test

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/pack"
)

// routes returns a value like a configuration with many routes.
func routes(n int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := fmt.Appendf(nil, `{"version":%d,"routes":[`, seed)
	for range n {
		out = fmt.Appendf(out, `{"name":"r-%x","host":"%x.example","path_prefix":"/%x/","timeout_ms":3000,"service":"s"},`, rng.Uint32(), rng.Uint32(), rng.Uint64())
	}
	return out
}

// transfer moves the segments that to lacks and returns their number and compressed size.
func transfer(t *testing.T, from, to *pack.Store, o pack.Outline) (segments, size int) {
	t.Helper()
	is := is.New(t)
	for _, seg := range to.Lacking(o) {
		packed, err := from.Packed(seg.ID)
		is.NoErr(err)
		is.NoErr(to.Put(seg, packed))
		segments, size = segments+1, size+len(packed)
	}
	return segments, size
}

func TestRecordsAreTransferredBySegments(t *testing.T) {
	is := is.New(t)
	from, to := pack.NewStore(), pack.NewStore()
	records := []pack.Record{{Key: "config", Value: routes(3200, 1)}, {Key: "version/m", Value: []byte("{}")}, {Key: "gone"}}
	o := from.Add(records)
	is.NoErr(o.Check())
	_, complete := to.Records(o)
	is.True(!complete)
	transfer(t, from, to, o)
	got, complete := to.Records(o)
	is.True(complete)
	for i, r := range got {
		is.Equal(r.Key, records[i].Key)
		is.True(bytes.Equal(r.Value, records[i].Value))
	}
	again := to.Add(got)
	slices.Reverse(again)
	is.Equal(o.Fingerprint(), again.Fingerprint())
}

// An ordinary change of a configuration with 3,200 routes must not cost as much as all of it.
func TestChangeOfARecordMovesTheChangedSegmentsOnly(t *testing.T) {
	is := is.New(t)
	from, to := pack.NewStore(), pack.NewStore()
	before := routes(3200, 1)
	transfer(t, from, to, from.Add([]pack.Record{{Key: "config", Value: before}}))
	// A route is inserted in the middle.
	after := append(append(bytes.Clone(before[:len(before)/2]), routes(1, 2)...), before[len(before)/2:]...)
	o := from.Add([]pack.Record{{Key: "config", Value: after}})
	segments, _ := transfer(t, from, to, o)
	is.True(segments <= 3)
	got, _ := to.Records(o)
	is.True(bytes.Equal(got[0].Value, after))
	to.Keep(o)
	is.Equal(len(to.Lacking(o)), 0)
}

func TestForeignBytesAreNoSegment(t *testing.T) {
	is := is.New(t)
	from, to := pack.NewStore(), pack.NewStore()
	o := from.Add([]pack.Record{{Key: "config", Value: routes(10, 1)}})
	seg := to.Lacking(o)[0]
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	is.NoErr(err)
	_, err = w.Write(make([]byte, 8<<20))
	is.NoErr(err)
	is.NoErr(w.Close())
	for _, raw := range [][]byte{nil, []byte("x"), bomb.Bytes()} {
		is.True(errors.Is(to.Put(seg, raw), pack.ErrCorrupt))
	}
	is.Equal(len(to.Lacking(o)), 1)
	is.True(pack.Outline{{Key: "config", Segments: []pack.Segment{{Size: 1 << 30}}}}.Check() != nil)
	_, ok := pack.IDFrom(make([]byte, 17))
	is.True(!ok)
}
