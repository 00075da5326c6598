//go:build deps

package main

import (
	_ "connectrpc.com/connect"
	_ "dandelionhoist.example/dh/dhpb"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kingpin/v2"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "gotest.tools/v3/assert"
)
