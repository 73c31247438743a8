package suite

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cicadastand.dev/core/proto/engine"
	stand "cicadastand.dev/stand/engine"
)

// cmdExpect checks a value: expect NAME VALUE, where NAME is a path such as
// answer.state, executions.KEY, r1.config or e1.crashes. VALUE may begin with < or >
// for a numeric comparison.
func cmdExpect(ts *testscript.TestScript, sc *scriptState, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: expect NAME VALUE")
	}
	return sc.expect(args[0], os.Expand(args[1], ts.Getenv))
}

// cmdEventually repeats a check like that of expect until it succeeds: eventually
// WITHIN NAME VALUE.
func cmdEventually(ts *testscript.TestScript, sc *scriptState, args []string) error {
	within, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	return sc.cluster.eventually(within, func() error { return sc.expect(args[1], os.Expand(args[2], ts.Getenv)) })
}

func (sc *scriptState) expect(what, want string) error {
	got, err := sc.value(what)
	if err != nil {
		return err
	}
	ok := got == want
	if want != "" && (want[0] == '<' || want[0] == '>') {
		g, err1 := strconv.ParseFloat(got, 64)
		w, err2 := strconv.ParseFloat(want[1:], 64)
		ok = err1 == nil && err2 == nil && (want[0] == '<' && g < w || want[0] == '>' && g > w)
	}
	if !ok {
		return fmt.Errorf("%s is %q, want %q", what, got, want)
	}
	return nil
}

func (sc *scriptState) value(what string) (string, error) {
	of, field, ok := strings.Cut(what, ".")
	if !ok {
		return "", fmt.Errorf("unknown value %s", what)
	}
	if of == "executions" {
		counts, err := sc.cluster.executions()
		return strconv.Itoa(counts[field]), err
	}
	if of == "crashes" {
		return sc.sumOverEngines(func(st stand.Stats) int { return st.Crashes })
	}
	if of == "imported" {
		return sc.sumOverEngines(func(st stand.Stats) int { return st.Imported })
	}
	if _, ok := sc.cluster.operators[of]; ok {
		return sc.routerValue(of, field)
	}
	if _, ok := sc.cluster.direct[of]; ok {
		return sc.engineValue(of, field)
	}
	sc.mu.Lock()
	a, ok := sc.responses[of]
	sc.mu.Unlock()
	if !ok {
		return "", errNoResponse
	}
	return a.value(field)
}

func (r response) value(field string) (string, error) {
	switch field {
	case "state":
		if r.State == "lost" && r.Body != "" {
			return r.State + ": " + r.Body, nil
		}
		return r.State, nil
	case "code":
		return r.Code, nil
	case "status":
		return strconv.Itoa(r.Status), nil
	case "source":
		return r.Source, nil
	case "cached":
		return strconv.Itoa(r.Cached), nil
	case "events":
		return strconv.Itoa(r.Events), nil
	case "ms":
		return strconv.FormatInt(r.Elapsed.Milliseconds(), 10), nil
	default:
		return "", fmt.Errorf("unknown value %s of a response", field)
	}
}

func (sc *scriptState) routerValue(name, field string) (string, error) {
	st, err := sc.cluster.dump(name)
	if err != nil {
		return "", err
	}
	switch {
	case field == "config":
		return strconv.FormatUint(st.ConfigOffset, 10), nil
	case field == "source":
		return st.ConfigSource, nil
	case field == "queued-claims":
		return strconv.Itoa(st.Claims.Queued), nil
	case field == "retention-too-short":
		return strconv.FormatBool(st.Claims.RetentionTooShort), nil
	case strings.HasPrefix(field, "host."):
		for _, h := range st.Hosts {
			if h.Name == strings.TrimPrefix(field, "host.") {
				return string(h.State), nil
			}
		}
		return "unknown", nil
	case strings.HasPrefix(field, "endpoint."):
		return string(st.Endpoints[strings.TrimPrefix(field, "endpoint.")].State), nil
	case strings.HasPrefix(field, "version."):
		v, err := sc.cluster.version(name, strings.TrimPrefix(field, "version."))
		return strconv.FormatUint(v, 10), err
	default:
		return "", fmt.Errorf("unknown value %s of a router", field)
	}
}

func (sc *scriptState) sumOverEngines(of func(stand.Stats) int) (string, error) {
	sum := 0
	for i := range sc.cluster.opts.Engines {
		st, err := sc.cluster.engineStats(fmt.Sprintf("e%d", i+1))
		if err != nil {
			return "", err
		}
		sum += of(st)
	}
	return strconv.Itoa(sum), nil
}

func (sc *scriptState) engineValue(name, field string) (string, error) {
	st, err := sc.cluster.engineStats(name)
	if err != nil {
		return "", err
	}
	switch field {
	case "crashes":
		return strconv.Itoa(st.Crashes), nil
	case "served":
		return strconv.Itoa(len(st.Served)), nil
	case "weights":
		var load engine.Load
		err := sc.cluster.control(name, http.MethodGet, "/v1/load", nil, &load)
		return load.Weights["advice"], err
	case "violations":
		return strconv.Itoa(st.Violations), nil
	default:
		return "", fmt.Errorf("unknown value %s of an engine", field)
	}
}
