// Command capacity measures the memory, CPU time and network traffic of each
// mechanism, and estimates from these unit costs what a host, called node in the tables,
// needs at the target size. It prints the tables of docs/CAPACITY.md.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// The target size, the resource budget of a node, and sizes and intervals that the
// estimate assumes.
const (
	targetNodes           = 340
	targetEngines         = 740
	targetDomains         = 4
	targetAccounts        = 13_000
	targetRequests        = 8_000 // a second
	targetTokens          = 1_700_000
	targetBlocks          = 42_000_000
	targetEvents          = 1_200_000 // a second
	targetChanges         = 2_600     // a day
	targetOrders          = 400       // a second
	secondsPerDay         = 24 * 3600
	budgetCPU             = 2.8  // percent of a core
	budgetMemory          = 32.0 // MB
	budgetBytes           = 16.0 // KB a second
	nodeRequests          = float64(targetRequests) / targetNodes
	domainEngines         = targetEngines / targetDomains
	piecesPerPrompt       = 20
	promptBytes           = piecesPerPrompt * 8000
	defaultProbeInterval  = 0.1 // seconds
	defaultGossipInterval = 0.5 // seconds
	heartbeatsPerSecond   = 0.5
	// sharedPollsPerSecond is the number of polls that one node sends, if three hosts
	// of an engine's failure domain poll the engine once a second.
	sharedPollsPerSecond = 3 * domainEngines / (float64(targetNodes) / targetDomains)
	reportBytes          = 80
	reportsPerDigest     = 16
	// batcherNodeShare is the share of nodes that batch claims, one in each failure
	// domain.
	batcherNodeShare = float64(targetDomains) / targetNodes
)

// row is the estimated cost of one mechanism of a role.
type row struct {
	role      string
	mechanism string
	// state, cpu and bytes are the cost for a node: memory in MB, percent of a CPU
	// core, and network traffic in KB/s.
	state float64
	cpu   float64
	bytes float64
	note  string
	// status says which sums the row counts towards.
	status rowStatus
}

// rowStatus says whether a mechanism is in use or planned.
type rowStatus int

const (
	// built mechanisms are in use and stay.
	built rowStatus = iota
	// planned mechanisms are not built yet.
	planned
	// replaced mechanisms are in use, exceed the budget, and are to be replaced by a
	// planned one.
	replaced
)

func main() {
	u := measure()
	printUnitCosts(os.Stdout, u)
	rows := nodeRows(u)
	printRows(os.Stdout, rows)
}

func (r *row) add(other row) {
	r.state += other.state
	r.cpu += other.cpu
	r.bytes += other.bytes
}

// cpuPercent returns the load of a CPU core in percent, for operations that take
// nanos each and happen perSecond times a second.
func cpuPercent(nanos, perSecond float64) float64 { return nanos * perSecond / 1e9 * 100 }

func kilobytes(bytes, perSecond float64) float64 { return bytes * perSecond / 1000 }

func megabytes(bytes, n float64) float64 { return bytes * n / 1e6 }

// nodeRows computes the cost of each mechanism for a node from the unit costs.
func nodeRows(u unitCosts) []row {
	gossip := 2 / (2 * defaultGossipInterval) // exchanges a second in a large fleet, initiated and received together
	changes := float64(targetChanges) / secondsPerDay
	return []row{
		{"configuration", "log reader, copy-on-write view", megabytes(u.accountBytes, targetAccounts),
			cpuPercent(u.changeNanos, changes+heartbeatsPerSecond), kilobytes(u.changeBytes, changes) + kilobytes(u.heartbeatBytes, heartbeatsPerSecond),
			"every node reads every change", built},
		{"limits, own use", "token buckets of active accounts", megabytes(u.limitBytes, nodeRequests*30),
			cpuPercent(u.limitNanos, nodeRequests), 0, "accounts are forgotten after 30 s", built},
		{"limits, split", "demand to the rendezvous keeper each second", megabytes(u.allocatorBytes, nodeRequests*3),
			cpuPercent(u.allocatorNanos+2*u.demandNanos, nodeRequests), 2 * kilobytes(u.demandBytes, nodeRequests), "one call for each active account at worst", built},
		{"routing", "placement, evidence, expected time", 0, cpuPercent(u.chooseNanos+u.expectedPiecesNanos+u.chainNanos, nodeRequests), 0,
			fmt.Sprintf("over the %d engines of the own domain", domainEngines), built},
		{"prefix index", "own requests only, bounded", megabytes(u.indexBytes, 50_000), cpuPercent(u.confirmNanos*piecesPerPrompt*2, nodeRequests), 0, "50,000 keys of 42 million", built},
		{"endpoints", "health table", megabytes(u.endpointBytes, targetEngines), 0, 0, "", built},
		{"load reports", "each node polls every engine", 0, cpuPercent(u.probeNanos, targetEngines/defaultProbeInterval),
			kilobytes(u.probeBytes, targetEngines/defaultProbeInterval), "OVER; the next row replaces it", replaced},
		{"load reports, shared (planned)", "three hosts of the domain poll an engine each second and pass it on", 0,
			cpuPercent(u.probeNanos, sharedPollsPerSecond) + cpuPercent(u.exchangeNanos, 1), kilobytes(u.probeBytes, sharedPollsPerSecond) + kilobytes(reportBytes*reportsPerDigest, 2*gossip), "not built", planned},
		{"membership", "sampled digests, ages through others", megabytes(u.hostBytes, targetNodes), cpuPercent(u.exchangeNanos, gossip),
			2 * kilobytes(u.digestBytes, gossip), "asked and answered, both digests", built},
		{"claims, all nodes read", "fold of the claims stream", megabytes(u.claimBytes, targetOrders*3600), cpuPercent(u.replayNanos, targetOrders),
			kilobytes(u.claimRecordBytes+u.outcomeRecordBytes, targetOrders), "OVER; the next row replaces it", replaced},
		{"claims, batched (planned)", "one rendezvous batcher for each domain reads and appends", megabytes(u.claimBytes, targetOrders*3600) * batcherNodeShare,
			cpuPercent(u.replayNanos, targetOrders) * batcherNodeShare, kilobytes(u.claimRecordBytes+u.outcomeRecordBytes, targetOrders)*batcherNodeShare + 2*kilobytes(u.demandBytes+u.claimRecordBytes, float64(targetOrders)/targetNodes),
			"not built; mean of all nodes, a batcher itself is over", planned},
		{"cache events", "turned off; evidence from answers instead", 0, 0, 0,
			fmt.Sprintf("all events on one node would be %.0f KB/s", kilobytes(u.eventBytes, targetEvents)), built},
	}
}

func printRows(w io.Writer, rows []row) {
	_, _ = fmt.Fprintf(w, "\nA node at the target size: %.1f requests/s, %d engines in its domain.\n\n", nodeRequests, domainEngines)
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(tw, "| role\t| mechanism\t| state MB\t| CPU % of a core\t| KB/s\t| note\t|")
	_, _ = fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|---\t|")
	var today, plan row
	for _, r := range rows {
		_, _ = fmt.Fprintf(tw, "| %s\t| %s\t| %.2f\t| %.3f\t| %.2f\t| %s\t|\n", r.role, r.mechanism, r.state, r.cpu, r.bytes, r.note)
		if r.status != planned {
			today.add(r)
		}
		if r.status != replaced {
			plan.add(r)
		}
	}
	for _, sum := range []struct {
		name string
		row  row
	}{{"sum as built", today}, {"sum with what is planned", plan}} {
		_, _ = fmt.Fprintf(tw, "| %s\t| \t| %.2f\t| %.3f\t| %.2f\t| budget %.0f MB, %.1f %%, %.0f KB/s\t|\n",
			sum.name, sum.row.state, sum.row.cpu, sum.row.bytes, budgetMemory, budgetCPU, budgetBytes)
	}
	_ = tw.Flush()
}
