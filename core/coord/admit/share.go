package admit

// HostShare returns how many requests a host may have at an engine. Of hosts that
// share the engine each may fill an even part of its slots. Free slots are taken
// up in even parts too, since all hosts see them at once and late; and where the
// engine is over its slots, hosts beyond their even part give way.
func HostShare(slots, own, others float64, hosts int) float64 {
	evenShare := slots / float64(max(1, hosts))
	free := slots - own - others
	if free > 0 {
		free /= float64(max(1, hosts))
	}
	return max(evenShare, own+free)
}
