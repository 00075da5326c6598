//go:build race

package dhsession_test

// The race detector makes a run take several times as long.
const defaultSeeds = 2
