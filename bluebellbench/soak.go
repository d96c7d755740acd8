package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"bluebellhall/bluebellbench/bbsoak"
)

// soakCommand returns the command that runs soak tests of the real programs.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run entry VMs as processes, inject faults from outside and check what callers and endpoints observed",
		Flags: []cli.Flag{
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "`SEED` of faults and requests",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "`NUMBER` of consecutive seeds",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "vms",
				Usage: "`NUMBER` of entry VMs",
				Value: 7,
			},
			&cli.DurationFlag{
				Name:  "for",
				Usage: "`TIME` during which faults are injected",
				Value: 30 * time.Second,
			},
			&cli.DurationFlag{
				Name:  "gap",
				Usage: "mean `TIME` between faults",
				Value: time.Second,
			},
			&cli.StringFlag{
				Name:  "aim",
				Usage: "`KINDS` of faults: returns draws only returns of the store from older copies and planned changes around them, releases mostly steps of releases and what breaks streams off around them, restarts mostly stops of VMs, in series that overlap, beside long streams; empty draws all",
			},
			&cli.FloatFlag{
				Name:  "rate",
				Usage: "`REQUESTS` a second",
				Value: 60,
			},
			&cli.StringFlag{
				Name:  "program",
				Usage: "`PATH` of the platform binary; empty builds it",
			},
			&cli.StringFlag{
				Name:  "dir",
				Usage: "`DIRECTORY` for logs and settings; empty creates a temporary one",
			},
			&cli.BoolFlag{
				Name:  "untimed",
				Usage: "don't check time bounds",
			},
		},
		Action: runSoaks,
	}
}

func runSoaks(ctx context.Context, c *cli.Command) error {
	dir := c.String("dir")
	if dir == "" {
		made, err := os.MkdirTemp("", "soak")
		if err != nil {
			return errors.Wrap(err, "directory")
		}
		dir = made
	}
	program := c.String("program")
	if program == "" {
		program = filepath.Join(dir, "platform")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "bluebellhall/platform").CombinedOutput(); err != nil {
			return errors.Wrapf(err, "build: %s", out)
		}
	}
	failed := 0
	for seed := c.Uint64("seed"); seed < c.Uint64("seed")+uint64(c.Int("seeds")); seed++ {
		logs := filepath.Join(dir, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return errors.Wrap(err, "directory")
		}
		report, err := bbsoak.Run(ctx, bbsoak.Settings{
			Seed:        seed,
			VMs:         c.Int("vms"),
			Duration:    c.Duration("for"),
			Aim:         c.String("aim"),
			PerSecond:   c.Float("rate"),
			Gap:         c.Duration("gap"),
			Program:     program,
			Dir:         logs,
			CheckTiming: !c.Bool("untimed"),
			Out:         os.Stdout,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d faults, %d attempts, %d answered, %d refused as not run, %d promises broken\n",
			seed, len(report.Faults), report.Tries, report.Answered, report.NotRun, len(report.Violations))
		for _, text := range report.Violations {
			fmt.Println("  broken:", text)
		}
		if len(report.Violations) > 0 {
			failed++
			fmt.Println("  logs:", logs)
		}
	}
	if failed > 0 {
		return errors.Newf("%d seeds broke promises", failed)
	}
	return nil
}
