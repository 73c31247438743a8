package fleet

// Rank is the urgency class of a request.
type Rank string

// The two ranks, most urgent first.
const (
	RankUrgent Rank = "urgent"
	RankOther  Rank = "other"
)

// Ranks returns all ranks, most urgent first.
func Ranks() []Rank { return []Rank{RankUrgent, RankOther} }

// Valid reports whether r is a known rank.
func (r Rank) Valid() bool { return r == RankUrgent || r == RankOther }

// Index returns the position of r in Ranks.
func (r Rank) Index() int {
	if r == RankUrgent {
		return 0
	}
	return 1
}
