package hold

const (
	// clientShare is the part of a host's memory for clients. Go's soft limit is 0.6 of the
	// memory, which also covers the program's own state and garbage that is not collected.
	clientShare = 0.3
	// messageShare is the part of it for incomplete messages of other hosts.
	messageShare = 0.08
	// keptFiles is the number of descriptors that are kept for files.
	keptFiles = 200
	// The ports' shares of the descriptors, without those for files. A request also needs a
	// connection to an endpoint, so what is left must be as much as that of the callers.
	callerFiles = 0.35
	peerFiles   = 0.1
	otherFiles  = 0.03
	// spareFiles is the share of connections to endpoints that are not in use.
	spareFiles = 0.1
	// The ports' shares of the memory, by ConnBytes, and the least bounds: each host of a
	// failure domain, probes and metrics must find a connection.
	callerMemory = 0.1
	peerMemory   = 0.03
	otherMemory  = 0.01
	minCallers   = 32
	minPeers     = 32
	minOthers    = 16
	// socketShare is the part of the memory for what callers sent and this host has not read,
	// or what they have not taken of their responses, if all of them do that. A buffer has at
	// least minSocketBytes: one stream of the usual length, or 90 Mbit/s at the delay between
	// failure domains.
	socketShare    = 0.2
	minSocketBytes = 32 << 10
)

// The names of the ports.
const (
	Callers   = "callers"
	Peers     = "peers"
	Operators = "operators"
	Readiness = "readiness"
	Metrics   = "metrics"
)

// ConfigFor returns the bounds for a host with an amount of memory and a limit of descriptors.
func ConfigFor(memory int64, files int) Config {
	left := float64(max(files-keptFiles, files/2))
	bound := func(ofFiles, ofMemory float64, least int) int {
		return max(least, int(min(ofFiles*left, ofMemory*float64(memory)/ConnBytes)))
	}
	others := bound(otherFiles, otherMemory, minOthers)
	callers := bound(callerFiles, callerMemory, minCallers)
	return Config{
		SocketBytes:   max(minSocketBytes, int(socketShare*float64(memory))/callers),
		Bytes:         int64(clientShare * float64(memory)),
		MaxSpareConns: int(spareFiles * left),
		MaxConns: map[string]int{
			Callers:   callers,
			Peers:     bound(peerFiles, peerMemory, minPeers),
			Operators: others,
			Readiness: others,
			Metrics:   others,
		},
	}
}

// MessageBytes returns the memory for incomplete messages of other hosts.
func MessageBytes(memory int64) int64 { return int64(messageShare * float64(memory)) }
