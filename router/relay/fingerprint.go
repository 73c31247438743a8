package relay

import (
	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/coord/poison"
)

// computeFingerprint returns a hash of the client account and the content of the
// request.
func (j *job) computeFingerprint() poison.Fingerprint {
	name := ""
	if j.account != nil {
		name = j.account.Name
	}
	var fp poison.Fingerprint
	putHash(fp[:8], xxhash.Sum64String(name+" "+j.req.Method+" "+j.req.RequestURI))
	putHash(fp[8:], xxhash.Sum64(j.body))
	return fp
}

func putHash(to []byte, h uint64) {
	for i := range to {
		to[i] = byte(h >> (8 * i))
	}
}
