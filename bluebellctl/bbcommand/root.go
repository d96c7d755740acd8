// Package bbcommand holds the commands of bluebellctl.
//
// Exit codes are 0 when all is well, 1 for findings, and 2 when the command was
// called wrongly or could not do its work.
package bbcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	ExitOK       = 0
	ExitFindings = 1
	ExitUsage    = 2
)

// errFindings ends a command that has printed findings.
var errFindings = errors.New("there are findings")

// Environment is what the commands use of the process.
type Environment struct {
	// Out takes the results and Err the errors.
	Out io.Writer
	Err io.Writer
	// ReadFile reads a whole file.
	ReadFile func(name string) ([]byte, error)
	// Client asks entry VMs.
	Client *http.Client
	// Now returns the wall clock time.
	Now func() time.Time
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, env Environment, arguments []string) int {
	err := newRoot(&env).Run(ctx, arguments)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFindings):
		return ExitFindings
	default:
		fmt.Fprintf(env.Err, "bluebellctl: %v\n", err)
		return ExitUsage
	}
}

// newRoot returns the whole command tree.
func newRoot(env *Environment) *cli.Command {
	root := &cli.Command{
		Name:  "bluebellctl",
		Usage: "check rules and see what the entry VMs do",
		Description: "The commands check, explain, drain, return and compare read rules files; with --nodes\n" +
			"they also ask entry VMs for the present state. The commands status and timeline ask\n" +
			"entry VMs only. Nothing is ever changed by this program: rules are published by the\n" +
			"platform's own means.\n\n" +
			"Exit code 0: all is well. 1: there are findings. 2: wrong usage, or a file can't be read.",
		Writer:    env.Out,
		ErrWriter: env.Err,
		Commands: []*cli.Command{
			newCheck(env),
			newExplain(env),
			newDrain(env),
			newReturn(env),
			newCompare(env),
			newStatus(env),
			newTimeline(env),
			newEvents(env),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         unknownCommand,
	}
	for _, c := range root.Commands {
		c.OnUsageError = usageError
	}
	root.OnUsageError = usageError
	return root
}

// unknownCommand answers a call without a command that is known.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return errors.Newf("unknown command %q; see bluebellctl --help", c.Args().First())
	}
	_ = cli.ShowAppHelp(c)
	return errors.New("a command is needed")
}

// usageError tells where the help is.
func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return errors.Newf("%v; see %s --help", err, c.FullName())
}

// argumentsOf returns the positional arguments when there are as many as named.
func argumentsOf(c *cli.Command, names ...string) ([]string, error) {
	if c.Args().Len() != len(names) {
		return nil, errors.Newf("%d arguments instead of %d %v; see %s --help", c.Args().Len(), len(names), names, c.FullName())
	}
	return c.Args().Slice(), nil
}
