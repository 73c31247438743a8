// Package limit enforces the limits of client accounts across all hosts without a
// central counter: each host spends a share of each limit, and the shares follow
// the hosts' demand.
package limit

import "sort"

// Demand is the demand of one host for an account's limit, in units per second.
type Demand struct {
	Host   string
	Amount float64
}

// Share is the part of a limit that one host may spend, in units per second.
type Share struct {
	Host   string
	Amount float64
}

// Split divides a limit by max-min fairness: hosts with a demand below an even
// share get their demand, and the others share the rest evenly. Capacity that no
// host demands is also spread evenly, so that a sudden demand can be served on any
// host. The shares add up to the limit.
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
