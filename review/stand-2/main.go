// Command review-2 plays the cases of the second review: it starts entry VMs as processes, with stand-ins of the
// platform's store, of workers and of clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	held   = 0
	broken = 1
)

var cases = map[string]func(r *record) int{
	"slashes": slashes,
	"split":   split,
	"handles": handles,
	"regions": regions,
	"alone":   alone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: review-2 CASE RECORD")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("stopped")
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("longer than 115 seconds") })
	r := newRecord(os.Args[2])
	result := cases[os.Args[1]](r)
	stopAll()
	word := "rule held"
	if result == broken {
		word = "rule broken"
	}
	r.line("%s", word)
	fmt.Println(word)
	os.Exit(result)
}
