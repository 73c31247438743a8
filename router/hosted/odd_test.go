package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// Another writer leaves one odd entry among those of the endpoints. It names no endpoint to
// use, and hosts go on to follow the list.
func TestOddEntryAmongEndpointsChangesNothing(t *testing.T) {
	valid := func(address, service, field, value string) string {
		fields := map[string]string{"slots": "4", "sequence": "1", "born": "1", "models": `[{"name":"m","version":1}]`, "zone": `"z"`}
		fields[field] = value
		out := fmt.Sprintf(`{"service":%q,"address":%q,"version":"v1","state":"ready"`, service, address)
		for name, v := range fields {
			out += fmt.Sprintf(",%q:%s", name, v)
		}
		return out + "}"
	}
	const free = "127.0.0.1:9"
	for name, odd := range map[string]struct{ key, value string }{
		"deeply nested":              {"odd", strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)},
		"deeply nested field":        {"odd", valid(free, "shop", "zone", strings.Repeat(`{"a":`, 20_000)+"1"+strings.Repeat("}", 20_000))},
		"number too large":           {"odd", valid(free, "shop", "slots", "1e400")},
		"slots too large":            {"odd", valid(free, "shop", "slots", "9223372036854775807")},
		"negative version":           {"odd", valid(free, "shop", "models", `[{"name":"m","version":-1}]`)},
		"start out of range":         {"odd", valid(free, "shop", "born", "9223372036854775807")},
		"port out of range":          {"odd", valid("127.0.0.1:65536", "shop", "slots", "4")},
		"no port":                    {"odd", valid("127.0.0.1:0", "shop", "slots", "4")},
		"empty address":              {"odd", valid("", "shop", "slots", "4")},
		"key that is not text":       {"\xff\xfe", valid(free, "shop", "slots", "4")},
		"long name":                  {"odd", valid(free, "shop", "zone", `"`+strings.Repeat("x", 600_000)+`"`)},
		"not JSON":                   {"odd", "\x00\x01"},
		"address of a live endpoint": {"odd", "live"},
		"key of a live endpoint":     {"i-1", "{}"},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2)
			c.revokeTime = 5 * time.Second
			c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
			c.startServing()
			value, added := odd.value, 10
			if value == "live" {
				// The service is in no configuration.
				value = valid(c.address["i-1"], "elsewhere", "born", "4000000000000")
				added++
			}
			is.NoErr(c.store.Put("keyed.servers", odd.key, []byte(value)))
			for n := range 8 { // other entries go on to change
				id := fmt.Sprint("new-", n)
				c.startEndpoint(id, "shop", "zone-0", server.Config{})
				is.True(c.serves("key"))
			}
			c.store.Trim("keyed.servers") // all entries are read again
			c.startEndpoint("last", "shop", "zone-0", server.Config{})
			for _, h := range c.hosts {
				c.eventually("all endpoints are used by each host", func() bool {
					return c.send(h, "GET", "/lookup/", "r", "key", "").status == http.StatusOK && h.log.count("change=added") == added
				})
				is.Equal(h.log.count("change=removed"), 0)
				is.Equal(h.log.count("endpoint ejected"), 0)
			}
			before := len(c.servers["i-1"].Runs())
			for range 20 {
				is.True(c.serves("key"))
			}
			is.True(len(c.servers["i-1"].Runs()) > before) // it is still used
		})
	}
}
