package node

import (
	"math"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/do/v2"
	"golang.org/x/sys/unix"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/trans/httpd"
)

const (
	// softMemoryShare is the Go soft memory limit as a fraction of the memory of the process.
	softMemoryShare = 0.6
	// defaultMemory is the memory of the process if the machine does not tell its own.
	defaultMemory = 512 << 20
	// defaultFiles is the limit of descriptors if the operating system does not tell it.
	defaultFiles = 1024
)

// setMemoryLimit sets Go's soft memory limit, unless the environment does, and returns the
// memory of the process, and whether that is a limit and not the memory of the machine.
func (n *Node) setMemoryLimit() (memory int64, limited bool) {
	const mebibyte = 1 << 20
	if n.settings.Limits.MemoryMB > 0 {
		memory = n.settings.Limits.MemoryMB * mebibyte
		debug.SetMemoryLimit(int64(softMemoryShare * float64(memory)))
		return memory, true
	}
	if soft := debug.SetMemoryLimit(-1); soft < math.MaxInt64 {
		return int64(float64(soft) / softMemoryShare), true
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		n.logger.Warn("failed to read the memory of the machine", "error", err)
		return defaultMemory, false
	}
	return int64(info.Totalram) * int64(info.Unit), false
}

// maxFiles returns the limit of descriptors of the process.
func (n *Node) maxFiles() int {
	if n.settings.Limits.MaxFiles > 0 {
		return n.settings.Limits.MaxFiles
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		n.logger.Warn("failed to read the limit of descriptors", "error", err)
		return defaultFiles
	}
	return int(min(limit.Cur, math.MaxInt32))
}

func provideGuard(n *Node) {
	memory, limited := n.setMemoryLimit()
	n.maxMessages = hold.MessageBytes(memory)
	bounds := hold.ConfigFor(memory, n.maxFiles())
	if !limited {
		bounds.SocketBytes = 0
	}
	bounds.BodyPause = n.settings.Callers.ReadTimeout
	bounds.MaxConnsPerAddress = n.settings.Limits.MaxConnsPerAddress
	do.Provide(n.scope, func(i do.Injector) (*httpd.Guard, error) {
		return httpd.NewGuard(httpd.GuardConfig{Clock: n.clock, Hold: bounds, Logger: n.logger.Named("guard"), Metrics: do.MustInvoke[*metrics.Set](i)}), nil
	})
}
