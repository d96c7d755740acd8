// Command stand runs the cases of the review: it starts the program's processes with stand-ins of clients, workers and
// the platform on loopback addresses.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(t *test){
		"freeze": freeze,
		"seeds":  seeds,
		"silent": silent,
		"leave":  leave,
		"inputs": inputs,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand CASE RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](newTest(os.Args[2]))
}
