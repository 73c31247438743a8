package line_test

import (
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/line"
)

// Requests that can't get room must not cost placements, and a large one must not keep small
// ones from the room that they need.
func TestARequestAsksUnlessOneBeforeItNeedsAsLittle(t *testing.T) {
	is := is.New(t)
	table := line.New()
	large := table.Join(line.Request{Rank: 1, Account: "a", Memory: 50})
	small := table.Join(line.Request{Rank: 1, Account: "b", Memory: 20})
	later := table.Join(line.Request{Rank: 1, Account: "c", Memory: 30})
	is.True(large.IsNext() && small.IsNext())
	is.True(!later.IsNext())
	urgent := table.Join(line.Request{Rank: 0, Account: "a", Memory: 10})
	is.True(urgent.IsNext() && !small.IsNext())
	urgent.Leave(true)
	small.Leave(true)
	small.Leave(true)
	is.True(later.IsNext())
	large.Leave(false)
	later.Leave(false)
	is.True(table.IsEmpty("") && table.Len() == 0)
}

// One account must not keep a small one waiting behind all of its requests.
func TestAccountsTakeTurns(t *testing.T) {
	is := is.New(t)
	table := line.New()
	var large []*line.Waiter
	for range 3 {
		large = append(large, table.Join(line.Request{Account: "large", Memory: 10}))
	}
	small := table.Join(line.Request{Account: "small", Memory: 10})
	is.True(large[0].IsNext())
	large[0].Leave(true)
	is.True(small.IsNext() && !large[1].IsNext())
	small.Leave(true)
	is.True(large[1].IsNext())
	next := table.Join(line.Request{Account: "small", Memory: 10})
	large[1].Leave(false) // what is rejected uses nothing of its account's share
	is.True(large[2].IsNext() && !next.IsNext())
}
