package dhsession

// Check compares the facts with the invariants and returns each violation as
// one line that begins with the invariant's name.
func (f *Facts) Check() []string { return nil }
