package logapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/proto/logapi"
	"cicadastand.dev/core/state/clock"
)

// slowPlatform sends a batch of records over 800 ms.
type slowPlatform struct{}

// ServeHTTP implements http.Handler.
func (slowPlatform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	body := `{"next":2,"records":[{"offset":1,"data":"` + strings.Repeat("eHh4", 256<<10) + `"}]}`
	for len(body) > 0 {
		n := min(len(body), 128<<10)
		if _, err := w.Write([]byte(body[:n])); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		body = body[n:]
		time.Sleep(100 * time.Millisecond) // the rate of the link
	}
}

// Contracts are as large as operators make them. A read that is given up begins again from
// the same offset, and would never end.
func TestLargeBatchOnASlowLinkIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(slowPlatform{})
	t.Cleanup(server.Close)
	client := logapi.New(logapi.Config{Clock: clock.New(), Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: 400 * time.Millisecond})
	t.Cleanup(client.Close)
	batch, err := client.Read(context.Background(), "config", 1, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
}
