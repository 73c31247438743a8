package mirror

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"cicadastand.dev/core/state/site"
)

// Fingerprint returns a hash of the content of an endpoint list.
func Fingerprint(list map[string]*site.Endpoint) uint64 {
	all := lo.Values(list)
	slices.SortFunc(all, func(a, b *site.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	var d xxhash.Digest
	d.Reset()
	for _, e := range all {
		// Writes to a digest can't fail. %v prints maps sorted by key, so the hash is
		// deterministic.
		_, _ = fmt.Fprintf(&d, "%s %s %s %s %q %d %t %d %v\n", e.ID, e.Service, e.Address, e.FailureDomain, e.Build, e.Slots, e.Draining, e.Started.UnixMilli(), e.Weights)
	}
	return d.Sum64()
}
