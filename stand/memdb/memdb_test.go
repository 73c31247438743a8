package memdb_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/platform/store"
	"cicadastand.dev/stand/memdb"
)

func startStore(t *testing.T) (*memdb.Store, *store.Client) {
	t.Helper()
	db := memdb.New()
	server := httptest.NewServer(db)
	t.Cleanup(server.Close)
	client := store.New(store.Config{Clock: clock.New(), Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))})
	t.Cleanup(client.Close)
	return db, client
}

func TestRecordsAreReadInOrder(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c := startStore(t)
	for _, text := range []string{"a", "", "ccc"} {
		page, err := c.Read(ctx, "t", 0, 0)
		is.NoErr(err)
		_, err = c.AppendAt(ctx, "t", page.End, []byte(text))
		is.NoErr(err)
	}
	page, err := c.Read(ctx, "t", 1, 0)
	is.NoErr(err)
	is.Equal(page.End, int64(3))
	is.Equal(len(page.Records), 2)
	is.Equal(string(page.Records[1]), "ccc")
}

func TestAppendAtWrongOffsetFails(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	db, c := startStore(t)
	_, err := c.AppendAt(ctx, "t", 1, []byte("x"))
	is.True(store.IsErrEndMismatch(err))
	is.Equal(db.Records("t"), int64(0))
}

func TestReadWaitsForRecord(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	db, c := startStore(t)
	got := make(chan store.Page, 1)
	go func() {
		page, err := c.Read(ctx, "keyed.t", 0, 10*time.Second)
		if err == nil {
			got <- page
		}
	}()
	is.NoErr(db.Put("keyed.t", "k", []byte("v")))
	page := <-got
	key, value, err := store.SplitKeyed(page.Records[0])
	is.NoErr(err)
	is.Equal(key, "k")
	is.Equal(string(value), "v")
}

func TestReadOfTrimmedRecordsFailsAndNewestRemain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	db, c := startStore(t)
	is.NoErr(c.Put(ctx, "keyed.t", "k", []byte("1")))
	is.NoErr(c.Put(ctx, "keyed.t", "k", []byte("2")))
	is.NoErr(c.Put(ctx, "keyed.t", "gone", []byte("3")))
	is.NoErr(c.Put(ctx, "keyed.t", "gone", nil))
	db.Trim("keyed.t")
	_, err := c.Read(ctx, "keyed.t", 0, 0)
	is.True(store.IsErrTrimmed(err))
	newest, err := c.Newest(ctx, "keyed.t")
	is.NoErr(err)
	records := newest.Records
	is.Equal(newest.Next, int64(4))
	is.Equal(len(records), 1)
	is.Equal(string(records[0].Value), "2")
}

func TestInjectedFaultsReturnMatchingErrors(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	db, c := startStore(t)
	db.SetFault(func(method, _ string) memdb.Fault {
		if method == "POST" {
			return memdb.LoseResponse
		}
		return memdb.Reject
	})
	_, err := c.Read(ctx, "t", 0, 0)
	is.True(store.IsErrStatus(err))
	_, err = c.AppendAt(ctx, "t", 0, []byte("x"))
	is.True(err != nil)
	is.True(!store.IsErrEndMismatch(err) && !store.IsErrStatus(err)) // the outcome of the append is unknown
	is.Equal(db.Records("t"), int64(1))
}

// The offsets after a copy are lost, and the era tells that they are given out again.
func TestRestoredStoreBeginsAnEra(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	db, c := startStore(t)
	is.NoErr(c.Put(ctx, "keyed.t", "k", []byte("1")))
	before := db.Copy()
	is.NoErr(c.Put(ctx, "keyed.t", "k", []byte("2")))
	db.Restore(before)
	_, err := c.Read(ctx, "keyed.t", 2, 0)
	is.True(store.IsErrTrimmed(err))
	page, err := c.Read(ctx, "keyed.t", 1, 0)
	is.NoErr(err)
	is.Equal(page.Era, int64(2))
	newest, err := c.Newest(ctx, "keyed.t")
	is.NoErr(err)
	is.Equal(newest, store.Newest{Era: 2, Next: 1, Records: []store.Record{{Key: "k", Value: []byte("1")}}})
}
