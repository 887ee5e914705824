// Command runner plays a case of the review against the project's entry instances, with small stand-ins for the store, the engines and the clients.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld = iota
	ruleBroken
	notRun
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// cases are the cases by name. Each reports whether the rule was broken. Without trouble it leaves out the disruption.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"keys": revokedKeys, "crash": crashedEngine, "leaving": leavingEngine, "unanswered": unanswered, "culprit": falseCulprit,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		os.Exit(runEngine(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: runner CASE DIR")
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, dir string) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](rec, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.add("the case could not run: %v", r.err)
			fmt.Println("not run:", r.err)
			return notRun
		case r.broken:
			rec.add("result: the rule was broken")
			fmt.Println("broken")
			return ruleBroken
		}
		rec.add("result: the rule held")
		fmt.Println("held")
		return ruleHeld
	case <-stop:
	case <-time.After(caseTimeout):
	}
	if d := current.Load(); d != nil {
		d.close()
	}
	rec.add("the case was stopped")
	fmt.Println("not run: stopped")
	return notRun
}

// runEngine runs an engine until it is killed, and prints what it does.
func runEngine(args []string) int {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	var o engineOptions
	flags.StringVar(&o.id, "id", "", "id")
	flags.StringVar(&o.address, "listen", "127.0.0.1:0", "address")
	flags.IntVar(&o.slots, "slots", 1, "requests that run at a time")
	flags.IntVar(&o.events, "events", 10, "events of a stream")
	flags.DurationVar(&o.eventEvery, "every", 50*time.Millisecond, "pause between events")
	flags.BoolVar(&o.unframed, "unframed", false, "streams have neither a length nor chunks")
	flags.DurationVar(&o.work, "work", 30*time.Millisecond, "time of other requests")
	if err := flags.Parse(args); err != nil {
		return notRun
	}
	l, err := net.Listen("tcp", o.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	var mu sync.Mutex
	print := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	print("listening %s", l.Addr())
	_ = newEngine(o, print).serve(l)
	return ruleHeld
}
