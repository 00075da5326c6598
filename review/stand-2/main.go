// Command stand-2 plays the cases of the second review: it starts the roles of the deploy
// file as processes on loopback addresses, with stand-ins for replicas, operator and clients,
// and checks one rule.
//
//	stand-2 PROGRAM CASE RECORD
//
// PROGRAM is target/dandelionhoistd, RECORD the file for what was sent, answered and run. With
// TROUBLE=0 in the environment the disruption is left out. The exit status is 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(d *deployment) (broken int, err error){
	"revoked-key":       revokedKey,
	"unreadable-leave":  unreadableLeave,
	"partial-heartbeat": partialHeartbeat,
	"first-start":       firstStart,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 PROGRAM CASE RECORD")
		return 2
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.close()
	d := &deployment{program: os.Args[1], record: record, trouble: os.Getenv("TROUBLE") != "0"}
	defer d.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	broken := 0
	var caseErr error
	go func() {
		defer close(done)
		broken, caseErr = cases[os.Args[2]](d)
	}()
	select {
	case <-done:
		err = caseErr
	case <-time.After(115 * time.Second):
		err = fmt.Errorf("the case took too long")
	case s := <-signals:
		err = fmt.Errorf("ended by signal %v", s)
	}
	switch {
	case err != nil:
		record.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken > 0:
		record.add("the rule was broken %d times", broken)
		fmt.Printf("the rule was broken %d times\n", broken)
		return 1
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
