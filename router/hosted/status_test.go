package hosted_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// An engine in trouble answers with a status that no response can have. Its client got 504 after the
// time limit of the route, or the status as it was.
func TestStatusOutsideTheProtocolIsABadGatewayAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startRawServer("i-1", "shop", func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nX-Request-Id: %s\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", req.URL.Query().Get("status"), req.Header.Get("X-Request-Id"))
		_, _ = conn.Read(make([]byte, 1)) // until the router closes
	})
	c.startServing()
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		sent := time.Now()
		got := c.send(c.hosts[0], "POST", "/order/?status="+status, "r"+status, "key", "x"+status)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusBadGateway)
		is.True(time.Since(sent) < time.Second) // of 2.5 s that the client waits
	}
}
