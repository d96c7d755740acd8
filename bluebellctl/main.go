// Command bluebellctl checks rules and shows what the entry VMs do.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"bluebellhall/bluebellctl/bbcommand"
)

func main() {
	env := bbcommand.Environment{
		Out:      os.Stdout,
		Err:      os.Stderr,
		ReadFile: os.ReadFile,
		Client:   &http.Client{},
		Now:      time.Now,
	}
	os.Exit(bbcommand.Run(context.Background(), env, os.Args))
}
