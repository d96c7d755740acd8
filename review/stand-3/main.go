// Command stand3 has the stand-ins and the drivers of the cases 11 to 14 of the review: a store, workers and clients
// that follow the protocol page, and processes of the project that it starts with the command of the deploy file.
//
// It writes record.txt into the folder of the case and exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	recordZero = time.Now()

	exitMu  sync.Mutex
	exiters []func()
)

// record writes one line with the time since the start.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%9.3f %s\n", time.Since(recordZero).Seconds(), fmt.Sprintf(format, args...))
	}
}

func atExit(f func()) {
	exitMu.Lock()
	defer exitMu.Unlock()
	exiters = append(exiters, f)
}

// finish ends all that was started, the last first, and exits.
func finish(code int) {
	exitMu.Lock()
	list := exiters
	exiters = nil
	exitMu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		list[i]()
	}
	recordMu.Lock()
	if recordFile != nil {
		_ = recordFile.Close()
		recordFile = nil
	}
	recordMu.Unlock()
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println("could not run:", text)
	record("could not run: %s", text)
	finish(2)
}

// verdict reports the result and exits.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word := "HELD"
	code := 0
	if broken {
		word, code = "BROKEN", 1
	}
	fmt.Println(word+":", text)
	record("%s: %s", word, text)
	finish(code)
}

// trouble is false if the disruption is left out.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// repo is the root of the repository.
func repo() string {
	if r := os.Getenv("REPO"); r != "" {
		return r
	}
	d, _ := os.Getwd()
	return d
}

func main() {
	cases := map[string]func(){
		"11": caseVersions,
		"12": caseTakeUp,
		"13": caseSuspect,
		"14": caseCold,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand3 CASE FOLDER")
		os.Exit(2)
	}
	var err error
	if recordFile, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		finish(2)
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("time is over") })
	cases[os.Args[1]]()
	cannotRun("the case gave no verdict")
}
