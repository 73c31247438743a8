package plan_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/loads/plan"
)

func load(t *testing.T, text string) (*plan.Workload, error) {
	path := filepath.Join(t.TempDir(), "w.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return plan.Load(path)
}

const validWorkload = `routers: ["127.0.0.1:1", "127.0.0.1:2"]
duration: 5s
streams:
  - {name: s, kind: completion, model: m, max-tokens: 1, rate: 20, customers: 5, conversations: 2, customer-pieces: 1, floods: [{from: 2s, until: 3s, factor: 10}]}
  - {name: o, kind: order, service: shop, rate: 5, repeat-share: 0.5}
`

func TestRequestsAreDeterministic(t *testing.T) {
	is := is.New(t)
	w, err := load(t, validWorkload)
	is.NoErr(err)
	is.Equal(w.Requests(), w.Requests())
	duringBurst, before := 0, 0
	for _, r := range w.Requests() {
		switch int(r.At.Seconds()) {
		case 2:
			duringBurst++
		case 1:
			before++
		}
	}
	is.True(duringBurst > 4*before)
}

func TestValidationErrorsNameTheField(t *testing.T) {
	for field, text := range map[string]string{
		"colour":             validWorkload + "colour: red\n",
		"routers":            strings.Replace(validWorkload, `["127.0.0.1:1", "127.0.0.1:2"]`, "[]", 1),
		"duration":           strings.Replace(validWorkload, "5s", "-5s", 1),
		"streams[0].kind":    strings.Replace(validWorkload, "completion", "poem", 1),
		"streams[0].rate":    strings.Replace(validWorkload, "rate: 20", "rate: 0", 1),
		"streams[1].service": strings.Replace(validWorkload, "service: shop, ", "", 1),
	} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			_, err := load(t, text)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), field))
		})
	}
}
