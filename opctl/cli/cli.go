// Package cli implements cicadactl, the operators' command line.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Exit codes.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFault: the router is unreachable, or the command failed in another way.
	ExitFault = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitRejected: the change was rejected as stale or invalid.
	ExitRejected = 3
	// ExitOutcomeUnknown: the change may or may not have been published.
	ExitOutcomeUnknown = 4
)

const callTimeout = 15 * time.Second

const usageText = `usage: cicadactl [flags] COMMAND [arguments]

commands:
  validate FILE            check a document without publishing it
  publish -base N FILE     publish a document made from version N (0: new)
  remove -base N NAME      delete a document
  list                     list documents and their versions
  get NAME                 print a document
  diff FILE                compare a file with the document in force
  history [NAME]           list verdicts on changes, oldest first
  usage [ACCOUNT]          what callers received, over all hosts
  hosts                    hosts of the system, as the router sees them
  endpoints                endpoints, as the router sees them
  snapshot                 print the configuration for use in settings
  dump                     print the state of the router's process
  drain                    start a graceful stop of the router
  hash-key                 read a key from standard input and print its digest

exit codes: 0 done, 1 failed, 2 wrong usage, 3 change refused, 4 outcome of the change unknown

flags:
`

// command has the options and arguments of one invocation.
type command struct {
	client *client
	json   bool
	stdin  io.Reader
	stdout io.Writer
	args   []string
}

// handlers returns the function of each command.
func handlers() map[string]func(context.Context, *command) error {
	return map[string]func(context.Context, *command) error{
		"validate":  validate,
		"publish":   publish,
		"remove":    remove,
		"list":      list,
		"get":       get,
		"diff":      diff,
		"history":   history,
		"usage":     showUsage,
		"hosts":     hosts,
		"endpoints": endpoints,
		"snapshot":  snapshot,
		"dump":      dump,
		"drain":     drain,
		"hash-key":  hashKey,
	}
}

// ErrUsage is the error of an invalid command line.
type ErrUsage struct{ Reason string }

// Error returns the reason.
func (e *ErrUsage) Error() string { return e.Reason }

// Run runs one command and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("cicadactl", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Usage = func() {
		_, _ = io.WriteString(stderr, usageText)
		fs.PrintDefaults()
	}
	router := netip.MustParseAddrPort("127.0.0.1:7200")
	fs.TextVar(&router, "router", router, "address of a router's operators' interface")
	keyFile := fs.String("key-file", "", "file with the operator's key; else the variable CICADA_OPERATOR_KEY")
	authority := fs.String("authority", "", "file with the authority's certificate, for TLS")
	asJSON := fs.Bool("json", false, "print JSON")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	rest := fs.Args()
	if len(rest) == 0 {
		fs.Usage()
		return ExitUsage
	}
	handler, ok := handlers()[rest[0]]
	if !ok {
		_, _ = fmt.Fprintf(stderr, "cicadactl: no command is called %q\n", rest[0])
		return ExitUsage
	}
	c, err := newClient(router, *keyFile, *authority)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "cicadactl: %v\n", err)
		return ExitUsage
	}
	cmd := &command{client: c, json: *asJSON, stdin: os.Stdin, stdout: stdout, args: rest[1:]}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := handler(ctx, cmd); err != nil {
		_, _ = fmt.Fprintf(stderr, "cicadactl: %v\n", err)
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	var usage *ErrUsage
	var rejected *ErrRejected
	var status *ErrStatus
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &rejected):
		return ExitRejected
	case errors.As(err, &status) && status.OutcomeUnknown():
		return ExitOutcomeUnknown
	default:
		return ExitFault
	}
}

// oneArg returns the only argument; what describes it in the error.
func (c *command) oneArg(what string) (string, error) {
	if len(c.args) != 1 {
		return "", &ErrUsage{Reason: "give one argument: " + what}
	}
	return c.args[0], nil
}

// optionalArg returns the only argument, or an empty string if there is none.
func (c *command) optionalArg() (string, error) {
	if len(c.args) > 1 {
		return "", &ErrUsage{Reason: "give at most one argument"}
	}
	return strings.Join(c.args, ""), nil
}

// baseFlag parses the required flag -base N and removes it from the arguments.
func (c *command) baseFlag(name string) (uint64, error) {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	base := fs.Uint64("base", 0, "version that the change was made from")
	if err := fs.Parse(c.args); err != nil {
		return 0, &ErrUsage{Reason: err.Error()}
	}
	given := slices.ContainsFunc(c.args, func(a string) bool { return strings.HasPrefix(strings.TrimLeft(a, "-"), "base") })
	if !given {
		return 0, &ErrUsage{Reason: "give -base, the version that the change was made from (0: new)"}
	}
	c.args = fs.Args()
	return *base, nil
}
