package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/bluebellfake/bbplatform"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// requestTimeout bounds the exchange with a stand-in.
const requestTimeout = 10 * time.Second

func addressFlag(of string) cli.Flag {
	return &cli.StringFlag{Name: "address", Required: true, Usage: "`HOST:PORT` of the " + of}
}

func faultCommand() *cli.Command {
	return &cli.Command{
		Name:  "fault",
		Usage: "change the behaviour of an endpoint",
		Flags: []cli.Flag{
			addressFlag("endpoint"),
			&cli.FloatFlag{Name: "slow", Usage: "stretch working times by `FACTOR`; 1 is normal"},
			&cli.FloatFlag{Name: "fail", Usage: "fail a `SHARE` of the requests, from 0 to 1"},
			&cli.FloatFlag{Name: "lose", Usage: "run a `SHARE` of the requests and lose the answer, from 0 to 1"},
			&cli.StringFlag{Name: "kill-on", Usage: "crash when a body holds `TEXT`; empty ends that"},
			&cli.BoolFlag{Name: "silent", Usage: "make the open connections silent for good"},
			&cli.DurationFlag{Name: "pause", Usage: "accept and do nothing for `TIME`"},
			&cli.BoolFlag{Name: "crash", Usage: "reset all connections and start anew, cold"},
			&cli.BoolFlag{Name: "cold", Usage: "turn cold without a sign"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return send(ctx, c, "/admin/faults", faultsFromFlags(c))
		},
	}
}

// faultsOf returns the faults that the flags name.
func faultsFromFlags(c *cli.Command) bbendpoint.Faults {
	f := bbendpoint.Faults{
		Silent:      c.Bool("silent"),
		PauseMillis: c.Duration("pause").Milliseconds(),
		Crash:       c.Bool("crash"),
		Cold:        c.Bool("cold"),
	}
	if c.IsSet("slow") {
		slow := c.Float("slow")
		f.SlowFactor = &slow
	}
	if c.IsSet("fail") {
		fail := c.Float("fail")
		f.FailShare = &fail
	}
	if c.IsSet("lose") {
		lose := c.Float("lose")
		f.LoseShare = &lose
	}
	if c.IsSet("kill-on") {
		killOn := c.String("kill-on")
		f.KillOn = &killOn
	}
	return f
}

// cut is the body of a command to an entry VM.
type cutRequest struct {
	// Names has the peers, or platform, that are cut off from now on.
	Names []string `json:"names"`
}

func cutCommand() *cli.Command {
	return &cli.Command{
		Name:  "cut",
		Usage: "cut an entry VM off from peers and from the platform; without names all links are mended",
		Flags: []cli.Flag{
			addressFlag("callers' interface of the entry VM, whose settings have testFaults"),
			&cli.StringSliceFlag{Name: "name", Usage: "`NAME` of a peer, or platform; may stand several times"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return send(ctx, c, "/admin/cut", cutRequest{
				Names: c.StringSlice("name"),
			})
		},
	}
}

func outageCommand() *cli.Command {
	return &cli.Command{
		Name:  "outage",
		Usage: "set the whole state of the platform's faults; without flags it is well",
		Flags: []cli.Flag{
			addressFlag("platform"),
			&cli.BoolFlag{Name: "down", Usage: "answer all readers with 503"},
			&cli.BoolFlag{Name: "frozen", Usage: "keep what readers see as it was"},
			&cli.DurationFlag{Name: "lag", Usage: "show changes of the member list after `TIME`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return send(ctx, c, "/admin/faults", bbplatform.Faults{
				Down:      c.Bool("down"),
				Frozen:    c.Bool("frozen"),
				LagMillis: c.Duration("lag").Milliseconds(),
			})
		},
	}
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:  "publish",
		Usage: "publish the next revision of the rules or of the member list, unchecked",
		Flags: []cli.Flag{
			addressFlag("platform"),
			&cli.StringFlag{Name: "rules", Usage: "rules `FILE`"},
			&cli.StringFlag{Name: "members", Usage: "JSON `FILE` with the member list"},
		},
		Action: publish,
	}
}

func publish(ctx context.Context, c *cli.Command) error {
	files := map[string]string{"/admin/rules": c.String("rules"), "/admin/members": c.String("members")}
	sent := 0
	for _, path := range []string{"/admin/rules", "/admin/members"} {
		if files[path] == "" {
			continue
		}
		data, err := os.ReadFile(files[path])
		if err != nil {
			return errors.Wrap(err, "read")
		}
		if err := sendBytes(ctx, c, path, data); err != nil {
			return err
		}
		sent++
	}
	if sent == 0 {
		return errors.New("nothing to publish: give --rules or --members")
	}
	return nil
}

func send(ctx context.Context, c *cli.Command, path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return sendBytes(ctx, c, path, data)
}

// sendBytes posts to the stand-in at --address and prints its answer.
func sendBytes(ctx context.Context, c *cli.Command, path string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := "http://" + c.String("address") + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, bbplatform.MaxValueBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	text := strings.TrimSpace(string(body))
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %d: %s", url, answer.StatusCode, text)
	}
	if text != "" {
		fmt.Fprintln(c.Root().Writer, text)
	}
	return nil
}
