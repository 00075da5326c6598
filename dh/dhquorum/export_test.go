package dhquorum

// InjectFaults makes the voter violate parts of the protocol, to verify that the tests detect it.
func (v *Voter) InjectFaults(forgetPromise, ignoreEpoch, skipCatchUp bool) {
	v.faults = protocolFaults{forgetPromise: forgetPromise, ignoreEpoch: ignoreEpoch, skipCatchUp: skipCatchUp}
}

// ForgetTries makes updates ignore the outcome of their earlier tries.
func (p *Proposer) ForgetTries() { p.forgetTries = true }
