//go:build race

package dhsession_test

// The race detector makes a run several times as long.
const defaultSeeds = 2
