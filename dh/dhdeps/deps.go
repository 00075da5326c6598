//go:build deps

// Package dhdeps keeps requirements in go.mod until the code that needs them has landed.
package dhdeps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kingpin/v2"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
