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

// scriptState holds the cluster of a script and the responses to its requests.
type scriptState struct {
	mu        sync.Mutex
	cluster   *cluster
	responses map[string]response
	pending   map[string]chan struct{}
	created   time.Time
}

type scriptStateKey struct{}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			sc := &scriptState{responses: make(map[string]response), pending: make(map[string]chan struct{}), created: time.Now()}
			env.Values[scriptStateKey{}] = sc
			env.Setenv("CICADA_OPERATOR_KEY", operatorKey)
			env.Defer(func() {
				if sc.cluster != nil {
					sc.cluster.close()
				}
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster":    withState(cmdCluster),
			"start":      withState(processCommand((*cluster).start)),
			"halt":       withState(processCommand((*cluster).stop)),
			"sigkill":    withState(processCommand((*cluster).kill)),
			"freeze":     withState(signalCommand(syscall.SIGSTOP)),
			"thaw":       withState(signalCommand(syscall.SIGCONT)),
			"partition":  withState(cmdPartition),
			"heal":       withState(cmdHeal),
			"fault":      withState(cmdFault),
			"crash":      withState(controlCommand("/control/crash")),
			"drain":      withState(controlCommand("/control/leave")),
			"trim":       withState(cmdTrim),
			"snapshot":   withState(cmdSnapshot),
			"weights":    withState(cmdWeights),
			"send":       withState(cmdSend),
			"order":      withState(cmdOrder),
			"await":      withState(cmdAwait),
			"publish":    withState(cmdPublish),
			"expect":     withState(cmdExpect),
			"eventually": withState(cmdEventually),
			"sleep":      withState(cmdSleep),
		},
	})
}

// command implements a command of the scripts.
type command func(*testscript.TestScript, *scriptState, []string) error

func withState(cmd command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		sc, _ := ts.Value(scriptStateKey{}).(*scriptState)
		err := cmd(ts, sc, args)
		if neg && err == nil {
			ts.Fatalf("%v succeeded unexpectedly", args)
		}
		if !neg {
			ts.Check(err)
		}
	}
}

// cmdCluster starts a cluster: cluster [-engines N] [-routers N] [-domains N] [-services N]
// [-kept] [-checks-keys] [-engine ARGS] [-service ARGS] [-platform ARGS]
// [-fleet YAML] [-router YAML]. With -kept the engines use the KV cache store. It sets the
// variables r1, r2 and so on to the addresses of the routers' interfaces for operators.
func cmdCluster(ts *testscript.TestScript, sc *scriptState, args []string) error {
	fs := flag.NewFlagSet("cluster", flag.ContinueOnError)
	var o clusterOptions
	fs.IntVar(&o.Engines, "engines", 2, "")
	fs.IntVar(&o.Routers, "routers", 2, "")
	fs.IntVar(&o.Domains, "domains", 2, "")
	fs.IntVar(&o.Services, "services", 1, "")
	fs.BoolVar(&o.KVStore, "kept", false, "")
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
	c, err := newCluster(ts.Getenv("WORK"), o)
	if err != nil {
		return err
	}
	sc.cluster = c
	for name, address := range c.operators {
		ts.Setenv(name, address.String())
	}
	return nil
}

// processCommand returns a command that calls do for each of the processes named in its
// arguments.
func processCommand(do func(*cluster, string) error) command {
	return func(_ *testscript.TestScript, sc *scriptState, args []string) error {
		for _, name := range args {
			if err := do(sc.cluster, name); err != nil {
				return err
			}
		}
		return nil
	}
}

func signalCommand(sig syscall.Signal) command {
	return processCommand(func(c *cluster, name string) error { return c.signal(name, sig) })
}

// controlCommand returns a command that posts to the given path of the control interface
// of each of the named test doubles.
func controlCommand(path string) command {
	return processCommand(func(c *cluster, name string) error { return c.control(name, http.MethodPost, path, nil, nil) })
}

func cmdPartition(_ *testscript.TestScript, sc *scriptState, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: partition FROM TO")
	}
	sc.cluster.partitions.set(args[0], args[1], true)
	return nil
}

func cmdHeal(_ *testscript.TestScript, sc *scriptState, _ []string) error {
	sc.cluster.heal()
	return nil
}

func cmdFault(_ *testscript.TestScript, sc *scriptState, args []string) error {
	return sc.cluster.fault(args[0], args[1])
}

func cmdTrim(_ *testscript.TestScript, sc *scriptState, args []string) error {
	return sc.cluster.control("platform", http.MethodPost, "/control/trim?keep="+args[0], nil, nil)
}

// cmdSnapshot configures a router to start with a snapshot: snapshot NAME FILE.
func cmdSnapshot(ts *testscript.TestScript, sc *scriptState, args []string) error {
	f, err := os.OpenFile(sc.cluster.settingsPath(args[0]), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	_, err = fmt.Fprintf(f, "snapshot: %s\n", ts.MkAbs(args[1]))
	return err
}

// cmdWeights orders an engine to load a version of the weights: weights NAME MODEL
// VERSION.
func cmdWeights(_ *testscript.TestScript, sc *scriptState, args []string) error {
	order := engine.Order{FencingToken: 1, Model: args[1], WeightsVersion: args[2]}
	return sc.cluster.control(args[0], http.MethodPost, "/v1/orders", order, nil)
}

func cmdSleep(_ *testscript.TestScript, _ *scriptState, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// cmdSend sends a completion request: send [-to r1] [-as NAME] [-bg] ... NAME is the
// name of the response for expect and await, by default answer. With -bg the script does
// not wait for the response.
// The state of the response is wrong if its text is not the one that a version given
// with -weights generates.
func cmdSend(_ *testscript.TestScript, sc *scriptState, args []string) error {
	fs := flag.NewFlagSet("send", flag.ContinueOnError)
	var o completionOptions
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
	return sc.run(*as, *bg, func() response {
		resp := sc.cluster.send(context.Background(), o)
		allowed := slices.ContainsFunc(strings.Split(*weights, ","), func(v string) bool { return resp.Text == o.expected(v) })
		if resp.State == "completed" && o.From == 0 && !allowed {
			resp.State = "wrong"
		}
		return resp
	})
}

// cmdOrder places an order: order -key K [-to r1] [-as NAME] [-bg] ... NAME and -bg are
// as in send.
func cmdOrder(_ *testscript.TestScript, sc *scriptState, args []string) error {
	fs := flag.NewFlagSet("order", flag.ContinueOnError)
	o := orderOptions{Created: sc.created}
	fs.StringVar(&o.To, "to", "r1", "")
	fs.StringVar(&o.Account, "account", "small", "")
	fs.StringVar(&o.Service, "service", "shop", "")
	fs.StringVar(&o.Key, "key", "", "")
	fs.StringVar(&o.Body, "body", `{"cane":1}`, "")
	fs.StringVar(&o.Deadline, "deadline", "", "")
	fs.BoolVar(&o.FirstAttempt, "first", false, "")
	age := fs.Duration("age", 0, "")
	as := fs.String("as", "answer", "")
	bg := fs.Bool("bg", false, "")
	if err := fs.Parse(args); err != nil {
		return err
	}
	o.Created = o.Created.Add(-*age)
	return sc.run(*as, *bg, func() response { return sc.cluster.order(context.Background(), o) })
}

// call is a request that runs concurrently with the script.
type call struct {
	sc   *scriptState
	name string
	do   func() response
	done chan struct{}
}

func (c *call) run() {
	resp := c.do()
	c.sc.mu.Lock()
	c.sc.responses[c.name] = resp
	c.sc.mu.Unlock()
	close(c.done)
}

func (sc *scriptState) run(name string, background bool, do func() response) error {
	c := &call{sc: sc, name: name, do: do, done: make(chan struct{})}
	sc.pending[name] = c.done
	go c.run()
	if background {
		return nil
	}
	return sc.await(name)
}

func (sc *scriptState) await(name string) error {
	select {
	case <-sc.pending[name]:
		return nil
	case <-time.After(time.Minute):
		return errNoResponse
	}
}

func cmdAwait(_ *testscript.TestScript, sc *scriptState, args []string) error {
	return sc.await(args[0])
}

// cmdPublish publishes a document: publish [-to r1] [-base N|now] [-weights YAML] FILE.
// In the file, $SMALL and $FLEET stand for the contract of the account small and for
// the fleet description. It sets the variable VERSION to the version of the verdict.
func cmdPublish(ts *testscript.TestScript, sc *scriptState, args []string) error {
	fs := flag.NewFlagSet("publish", flag.ContinueOnError)
	to := fs.String("to", "r1", "")
	base := fs.String("base", "now", "")
	weights := fs.String("weights", "weights-version: v1", "")
	if err := fs.Parse(args); err != nil {
		return err
	}
	text := strings.ReplaceAll(ts.ReadFile(fs.Arg(0)), "$SMALL\n", contractText("small", "urgent"))
	text = strings.ReplaceAll(text, "$FLEET\n", sc.cluster.fleetText())
	text = strings.ReplaceAll(text, "weights-version: v1", *weights)
	name := "fleet"
	if strings.HasPrefix(text, "account: ") {
		name = "contract/" + strings.Fields(text)[1]
	}
	var version uint64
	var err error
	if *base == "now" {
		version, err = sc.cluster.version(*to, name)
	} else {
		version, err = strconv.ParseUint(*base, 10, 64)
	}
	if err != nil {
		return err
	}
	v, err := sc.cluster.publish(*to, operatorKey, version, text)
	if err != nil {
		return err
	}
	ts.Setenv("VERSION", strconv.FormatUint(v.Version, 10))
	if v.Outcome != "accepted" {
		return fmt.Errorf("%s: %s", v.Outcome, v.Reason)
	}
	return nil
}
