//go:build !race

package dhsession_test

// CI has about 60 s of CPU for this test; 25 seeds of both deployments took 69 s on
// a busy machine.
const defaultSeeds = 22
