package poison_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/poison"
)

func TestSuspectsRunIsolatedAndAreRejected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := poison.New(poison.DefaultConfig())
	bad, innocent := poison.Fingerprint{1}, poison.Fingerprint{2}
	is.True(table.Start("e1", bad, now))
	is.True(table.Start("e1", innocent, now))
	table.Finish("e1", bad)
	table.Finish("e1", innocent)
	table.RecordCrash(bad, now)
	table.RecordCrash(innocent, now)
	is.NoErr(table.Check(bad, 2, now))
	is.True(table.Start("e2", bad, now))
	is.True(!table.Start("e2", innocent, now)) // at most one suspect per endpoint
	is.True(table.Start("e3", innocent, now))
	table.RecordCompletion(innocent)
	table.RecordCrash(bad, now)
	is.True(table.Check(bad, 2, now) != nil)
	is.NoErr(table.Check(innocent, 2, now))
	peer := poison.New(poison.DefaultConfig())
	peer.Merge(table.Suspects(10, now), now)
	is.True(peer.Check(bad, 2, now) != nil)
	is.NoErr(table.Check(bad, 2, now.Add(time.Hour))) // expired
}
