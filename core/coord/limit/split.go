// Package limit holds each account to its contract over all hosts, without a
// central counter.
package limit

import "sort"

// Demand is what one host's callers ask of an account's limit, in units a second.
type Demand struct {
	Host   string
	Amount float64
}

// Share is the part of a limit that one host may spend, in units a second.
type Share struct {
	Host   string
	Amount float64
}

// Split divides a limit by demand: hosts that ask for less than an even part get
// what they ask for, the others share the rest evenly, and what nobody asks for
// is spread evenly, so that a sudden demand finds room anywhere. The shares add
// up to the limit.
func Split(total float64, demands []Demand) []Share {
	if len(demands) == 0 {
		return nil
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return demands[order[a]].Amount < demands[order[b]].Amount })
	shares := make([]Share, len(demands))
	left := total
	for n, i := range order {
		even := left / float64(len(order)-n)
		amount := min(max(demands[i].Amount, 0), even)
		shares[i] = Share{Host: demands[i].Host, Amount: amount}
		left -= amount
	}
	for i := range shares {
		shares[i].Amount += left / float64(len(shares))
	}
	return shares
}
