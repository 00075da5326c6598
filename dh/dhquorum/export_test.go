package dhquorum

// Break switches off rules of a voter, to show that the checks notice it.
func (v *Voter) Break(forgetPromise, ignoreEpoch, countEarly bool) {
	v.rules = rules{forgetPromise: forgetPromise, ignoreEpoch: ignoreEpoch, countEarly: countEarly}
}

// Break makes updates forget their earlier tries.
func (p *Proposer) Break() { p.forgetTries = true }
