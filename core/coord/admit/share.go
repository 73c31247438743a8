package admit

// HostShare returns how many requests a host may have in flight at an engine that
// it shares with other hosts. Each host may always use an equal share of the
// engine's slots. Free slots are divided equally too, since all hosts see them at
// the same time and with a delay, and would all fill them at once. If the engine
// has more requests than slots, hosts above their equal share reduce theirs.
func HostShare(slots, own, others float64, hosts int) float64 {
	evenShare := slots / float64(max(1, hosts))
	free := slots - own - others
	if free > 0 {
		free /= float64(max(1, hosts))
	}
	return max(evenShare, own+free)
}
