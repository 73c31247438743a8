package site

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// CacheScope returns the name of the accounts that may share cached prompt parts with an
// account, or with requests without one if it is nil. It is empty for the accounts that are
// not isolated while none is.
func (c *Config) CacheScope(a *Account) string {
	if a == nil {
		return c.sharedScope
	}
	if _, ok := c.isolated[a.Name]; ok || a.Isolated {
		return "account-" + a.Name
	}
	return c.sharedScope
}

// sharedScope returns a name that differs for each set of isolated accounts: an account
// that becomes isolated leaves parts behind that the others must no longer find.
func sharedScope(isolated []string) string {
	if len(isolated) == 0 {
		return ""
	}
	names := lo.Uniq(isolated)
	slices.Sort(names)
	const base = 36
	return "shared-" + strconv.FormatUint(xxhash.Sum64String(strings.Join(names, "\x00")), base)
}
