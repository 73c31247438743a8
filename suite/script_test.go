package suite

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cicadastand.dev/core/proto/engine"
	opctl "cicadastand.dev/opctl/cli"
	router "cicadastand.dev/router/cli"
	standcli "cicadastand.dev/stand/cli"
)

func TestMain(m *testing.M) {
	switch os.Getenv(envProgram) {
	case "router":
		os.Exit(router.Run(os.Args[1:], os.Stdout, os.Stderr))
	case "stand":
		os.Exit(standcli.Run(os.Args[1:], os.Stderr))
	}
	testscript.Main(m, map[string]func(){
		"cicadactl":     func() { os.Exit(opctl.Run(os.Args[1:], os.Stdout, os.Stderr)) },
		"cicada-router": func() { os.Exit(router.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// scene is the state of one script.
type scene struct {
	mu      sync.Mutex
	site    *site
	answers map[string]answer
	pending map[string]chan struct{}
	created time.Time
}

type sceneKey struct{}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			sc := &scene{answers: make(map[string]answer), pending: make(map[string]chan struct{}), created: time.Now()}
			env.Values[sceneKey{}] = sc
			env.Setenv("CICADA_OPERATOR_KEY", operatorKey)
			env.Defer(func() {
				if sc.site != nil {
					sc.site.close()
				}
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site":       withScene(cmdSite),
			"start":      withScene(processCommand((*site).start)),
			"halt":       withScene(processCommand((*site).stop)),
			"sigkill":    withScene(processCommand((*site).kill)),
			"freeze":     withScene(signalCommand(syscall.SIGSTOP)),
			"thaw":       withScene(signalCommand(syscall.SIGCONT)),
			"cut":        withScene(cmdCut),
			"heal":       withScene(cmdHeal),
			"fault":      withScene(cmdFault),
			"crash":      withScene(controlCommand("/control/crash")),
			"leave":      withScene(controlCommand("/control/leave")),
			"trim":       withScene(cmdTrim),
			"snapshot":   withScene(cmdSnapshot),
			"weights":    withScene(cmdWeights),
			"send":       withScene(cmdSend),
			"order":      withScene(cmdOrder),
			"await":      withScene(cmdAwait),
			"publish":    withScene(cmdPublish),
			"expect":     withScene(cmdExpect),
			"eventually": withScene(cmdEventually),
			"pause":      withScene(cmdPause),
		},
	})
}

// command is one word of the scripts.
type command func(*testscript.TestScript, *scene, []string) error

func withScene(cmd command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		sc, _ := ts.Value(sceneKey{}).(*scene)
		err := cmd(ts, sc, args)
		if neg && err == nil {
			ts.Fatalf("%v succeeded", args)
		}
		if !neg {
			ts.Check(err)
		}
	}
}

// cmdSite starts a site: site [-engines N] [-routers N] [-domains N] [-services N]
// [-engine ARGS] [-service ARGS] [-platform ARGS] [-fleet YAML]; it sets the
// variables r1, r2 and so on to the operators' addresses.
func cmdSite(ts *testscript.TestScript, sc *scene, args []string) error {
	fs := flag.NewFlagSet("site", flag.ContinueOnError)
	var o siteOptions
	fs.IntVar(&o.Engines, "engines", 2, "")
	fs.IntVar(&o.Routers, "routers", 2, "")
	fs.IntVar(&o.Domains, "domains", 2, "")
	fs.IntVar(&o.Services, "services", 1, "")
	fs.BoolVar(&o.Kept, "kept", false, "")
	fs.BoolVar(&o.ChecksKeys, "checks-keys", false, "")
	fs.StringVar(&o.FleetYAML, "fleet", "", "")
	fs.StringVar(&o.RouterYAML, "router", "", "")
	engineArgs := fs.String("engine", "", "")
	serviceArgs := fs.String("service", "", "")
	platformArgs := fs.String("platform", "", "")
	if err := fs.Parse(args); err != nil {
		return err
	}
	o.EngineArgs = strings.Fields(*engineArgs)
	o.ServiceArgs = strings.Fields(*serviceArgs)
	o.PlatformArgs = strings.Fields(*platformArgs)
	s, err := newSite(ts.Getenv("WORK"), o)
	if err != nil {
		return err
	}
	sc.site = s
	for name, address := range s.opers {
		ts.Setenv(name, address.String())
	}
	return nil
}

// processCommand returns a command that does something to each named process.
func processCommand(do func(*site, string) error) command {
	return func(_ *testscript.TestScript, sc *scene, args []string) error {
		for _, name := range args {
			if err := do(sc.site, name); err != nil {
				return err
			}
		}
		return nil
	}
}

func signalCommand(sig syscall.Signal) command {
	return processCommand(func(s *site, name string) error { return s.signal(name, sig) })
}

// controlCommand returns a command that calls a stand-in's control interface.
func controlCommand(path string) command {
	return processCommand(func(s *site, name string) error { return s.control(name, http.MethodPost, path, nil, nil) })
}

func cmdCut(_ *testscript.TestScript, sc *scene, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("cut FROM TO")
	}
	sc.site.cuts.set(args[0], args[1], true)
	return nil
}

func cmdHeal(_ *testscript.TestScript, sc *scene, _ []string) error {
	sc.site.heal()
	return nil
}

func cmdFault(_ *testscript.TestScript, sc *scene, args []string) error {
	return sc.site.fault(args[0], args[1])
}

func cmdTrim(_ *testscript.TestScript, sc *scene, args []string) error {
	return sc.site.control("platform", http.MethodPost, "/control/trim?keep="+args[0], nil, nil)
}

// cmdSnapshot adds a snapshot to a router's settings: snapshot NAME FILE.
func cmdSnapshot(ts *testscript.TestScript, sc *scene, args []string) error {
	f, err := os.OpenFile(sc.site.settingsPath(args[0]), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	_, err = fmt.Fprintf(f, "snapshot: %s\n", ts.MkAbs(args[1]))
	return err
}

// cmdWeights has an engine load another version: weights NAME MODEL VERSION.
func cmdWeights(_ *testscript.TestScript, sc *scene, args []string) error {
	order := engine.Order{Fence: 1, Model: args[1], WeightsVersion: args[2]}
	return sc.site.control(args[0], http.MethodPost, "/v1/orders", order, nil)
}

func cmdPause(_ *testscript.TestScript, _ *scene, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// cmdSend asks for a completion: send [-to r1] [-as NAME] [-bg] ...
func cmdSend(_ *testscript.TestScript, sc *scene, args []string) error {
	fs := flag.NewFlagSet("send", flag.ContinueOnError)
	var o sendOptions
	fs.StringVar(&o.To, "to", "r1", "")
	fs.StringVar(&o.Account, "account", "small", "")
	fs.StringVar(&o.Rank, "rank", "", "")
	fs.StringVar(&o.Prompt, "prompt", "hello", "")
	fs.StringVar(&o.Deadline, "deadline", "", "")
	fs.IntVar(&o.Pieces, "pieces", 0, "")
	fs.IntVar(&o.Tokens, "tokens", 8, "")
	fs.IntVar(&o.From, "from", 0, "")
	fs.BoolVar(&o.Stream, "stream", false, "")
	weights := fs.String("weights", "v1", "")
	as := fs.String("as", "answer", "")
	bg := fs.Bool("bg", false, "")
	if err := fs.Parse(args); err != nil {
		return err
	}
	return sc.run(*as, *bg, func() answer {
		a := sc.site.send(context.Background(), o)
		allowed := slices.ContainsFunc(strings.Split(*weights, ","), func(v string) bool { return a.Text == o.expected(v) })
		if a.State == "completed" && o.From == 0 && !allowed {
			a.State = "wrong"
		}
		return a
	})
}

// cmdOrder places an order: order -key K [-to r1] [-as NAME] [-bg] ...
func cmdOrder(_ *testscript.TestScript, sc *scene, args []string) error {
	fs := flag.NewFlagSet("order", flag.ContinueOnError)
	o := orderOptions{Created: sc.created}
	fs.StringVar(&o.To, "to", "r1", "")
	fs.StringVar(&o.Account, "account", "small", "")
	fs.StringVar(&o.Service, "service", "shop", "")
	fs.StringVar(&o.Key, "key", "", "")
	fs.StringVar(&o.Body, "body", `{"cane":1}`, "")
	fs.StringVar(&o.Deadline, "deadline", "", "")
	fs.BoolVar(&o.First, "first", false, "")
	age := fs.Duration("age", 0, "")
	as := fs.String("as", "answer", "")
	bg := fs.Bool("bg", false, "")
	if err := fs.Parse(args); err != nil {
		return err
	}
	o.Created = o.Created.Add(-*age)
	return sc.run(*as, *bg, func() answer { return sc.site.order(context.Background(), o) })
}

// call is a request that runs beside the script.
type call struct {
	sc   *scene
	name string
	do   func() answer
	done chan struct{}
}

func (c *call) run() {
	a := c.do()
	c.sc.mu.Lock()
	c.sc.answers[c.name] = a
	c.sc.mu.Unlock()
	close(c.done)
}

func (sc *scene) run(name string, background bool, do func() answer) error {
	c := &call{sc: sc, name: name, do: do, done: make(chan struct{})}
	sc.pending[name] = c.done
	go c.run()
	if background {
		return nil
	}
	return sc.await(name)
}

func (sc *scene) await(name string) error {
	select {
	case <-sc.pending[name]:
		return nil
	case <-time.After(time.Minute):
		return errNoAnswer
	}
}

func cmdAwait(_ *testscript.TestScript, sc *scene, args []string) error { return sc.await(args[0]) }

// cmdPublish publishes a document: publish [-to r1] [-key 1|2] [-base N|now] FILE.
func cmdPublish(ts *testscript.TestScript, sc *scene, args []string) error {
	fs := flag.NewFlagSet("publish", flag.ContinueOnError)
	to := fs.String("to", "r1", "")
	base := fs.String("base", "now", "")
	weights := fs.String("weights", "weights-version: v1", "")
	if err := fs.Parse(args); err != nil {
		return err
	}
	text := strings.ReplaceAll(ts.ReadFile(fs.Arg(0)), "$SMALL\n", contractText("small", "urgent"))
	text = strings.ReplaceAll(text, "$FLEET\n", sc.site.fleetText())
	text = strings.ReplaceAll(text, "weights-version: v1", *weights)
	name := "fleet"
	if strings.HasPrefix(text, "account: ") {
		name = "contract/" + strings.Fields(text)[1]
	}
	var version uint64
	var err error
	if *base == "now" {
		version, err = sc.site.version(*to, name)
	} else {
		version, err = strconv.ParseUint(*base, 10, 64)
	}
	if err != nil {
		return err
	}
	v, err := sc.site.publish(*to, operatorKey, version, text)
	if err != nil {
		return err
	}
	ts.Setenv("VERSION", strconv.FormatUint(v.Version, 10))
	if v.Outcome != "accepted" {
		return fmt.Errorf("%s: %s", v.Outcome, v.Reason)
	}
	return nil
}
