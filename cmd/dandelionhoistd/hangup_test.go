//go:build cgo

package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a SIGHUP that ends a process before the Go runtime handles signals. Seeds
// 507, 2 and 20212 of the soak showed the fault.
func TestHangupBeforeRuntime(t *testing.T) {
	assert.Assert(t, hangupsIgnored)
}
