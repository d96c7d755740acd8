// Package bbcommand implements the commands of bluebellctl.
//
// The exit code is 0 for success without findings, 1 if there are findings, and 2 if the
// command line is invalid or the command failed.
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

// errFindings is returned by a command that has printed findings; it selects exit code 1.
var errFindings = errors.New("there are findings")

// Environment holds what the commands use of the process and the network.
type Environment struct {
	// Out receives the results and Err the error messages.
	Out io.Writer
	Err io.Writer
	// ReadFile reads a whole file.
	ReadFile func(name string) ([]byte, error)
	// Client queries entry VMs.
	Client *http.Client
	// Now returns the wall clock time.
	Now func() time.Time
}

// Run executes a command line and returns the exit code.
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

// newRoot returns the root command with all its subcommands.
func newRoot(env *Environment) *cli.Command {
	root := &cli.Command{
		Name:  "bluebellctl",
		Usage: "check rules files and inspect entry VMs",
		Description: "The commands check, explain, drain, return and compare read rules files. With --nodes, all but\n" +
			"check also query entry VMs for their present state. The commands status and timeline query entry\n" +
			"VMs; explain and timeline can read logs instead. This program never changes anything: rules are\n" +
			"published through the platform.\n\n" +
			"Exit code 0: success. 1: there are findings. 2: invalid usage, or the command failed.",
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

// unknownCommand returns the error for a command line without a known command.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return errors.Newf("unknown command %q; see bluebellctl --help", c.Args().First())
	}
	_ = cli.ShowAppHelp(c)
	return errors.New("a command is required")
}

// usageError adds a reference to the help to an error in the flags of a command.
func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return errors.Newf("%v; see %s --help", err, c.FullName())
}

// argumentsOf returns the positional arguments; it fails unless there is one for each name.
func argumentsOf(c *cli.Command, names ...string) ([]string, error) {
	if c.Args().Len() != len(names) {
		return nil, errors.Newf("got %d arguments, want %d %v; see %s --help", c.Args().Len(), len(names), names, c.FullName())
	}
	return c.Args().Slice(), nil
}
