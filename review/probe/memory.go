package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// anonymous returns the anonymous memory of a process in MB.
func (h *host) anonymous() float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}
