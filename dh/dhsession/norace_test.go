//go:build !race

package dhsession_test

const defaultSeeds = 25
