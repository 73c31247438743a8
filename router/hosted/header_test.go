package hosted_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// The operator limits heads to 16 KiB. A head within the limit is served, also if it has very many
// lines; one above it is refused before an endpoint reads anything.
func TestHeadsOverTheOperatorsLimitAreRefused(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	shop := c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startServing()
	send := func(id string, filler int) response {
		return c.sendHeader(c.hosts[0], "POST", "/order/", id, "key", "x", "aa:800", map[string]string{"X-Filler": strings.Repeat("x", filler)})
	}
	is.Equal(send("r1", 15<<10).status, http.StatusOK)
	refused := send("r2", 17<<10)
	is.Equal(refused.status, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(len(shop.Runs()), 1)
}
