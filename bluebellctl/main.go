// Command bluebellctl checks rules files and inspects entry VMs.
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
