//go:build !race

package dhsession_test

// 25 seeds of both deployments took 69 s of CPU on a busy machine; CI has about 60 s.
const defaultSeeds = 22
