// Command dandelionhoist is the command-line program for operators.
//
// It reads and edits the two tables and shows the state of a deployment.
// Commands that need a deployment call the operator service of an entry VM;
// several --server URLs are tried in order. http URLs use HTTP/2 without TLS,
// https URLs use TLS.
//
// # Usage
//
//	dandelionhoist --server=http://10.0.0.1:7000 --key-file=operator.key get > tables.json
//	dandelionhoist diff tables.json
//	dandelionhoist apply tables.json --wait
//	dandelionhoist status
//
// The defaults file (see --config) is JSON with comments:
//
//	{
//	  "servers": ["https://10.0.0.1:7000", "https://10.0.0.2:7000"],
//	  "key-file": "/etc/dandelionhoist/operator.key",
//	  "ca-file": "/etc/dandelionhoist/ca.pem",
//	  "timeout": "30s",
//	  "output": "text",
//	}
//
// The exit status is the number of the result's class (dhcode.Class);
// docs/RESULT-CODES.md lists them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dandelionhoist.example/dh/dhtimer"
)

func main() {
	os.Exit(runProgram())
}

func runProgram() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &program{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv,
		Timers: dhtimer.NewSystem(), Exit: os.Exit,
	}
	return p.run(ctx, os.Args[1:])
}
