// Package dhquorum keeps small values in registers that are replicated on
// voters and survive the loss of a minority of them.
//
// # Usage
//
//	var registers dhquorum.Memory
//	value, err := registers.Update(ctx, "revision/7", func(old []byte) ([]byte, error) {
//		if old != nil {
//			return old, nil // somebody was first
//		}
//		return mine, nil
//	})
package dhquorum
