package controlplane

// An epoch binds if somebody was, or will be, told that a change set is in force or that a
// target gets nothing more: whoever goes on with an epoch from before it does harm. One
// that only brings targets or shares binds nobody, and a proxy that has not taken it yet
// serves as rightly as one that has.

// removesTarget tells whether a target that could be sent to in one epoch can't be in the
// next, or whether a group is gone. The error is a *DamagedGroupError.
func removesTarget(previous, next *EpochState) (bool, error) {
	for name := range previous.Groups {
		if _, ok := next.Groups[name]; !ok {
			return true, nil
		}
	}
	for service := range previous.targetServices() {
		name := TargetsPrefix + service
		if next.Groups[name].Digest == previous.Groups[name].Digest {
			continue
		}
		before, err := previous.Targets(service)
		if err != nil {
			return false, err
		}
		after, err := next.Targets(service)
		if err != nil {
			return false, err
		}
		type endpoint struct{ instance, address string }
		usable := map[endpoint]bool{}
		for _, target := range after {
			usable[endpoint{target.Instance, target.Address}] = target.Weight > 0
		}
		for _, target := range before {
			if target.Weight > 0 && !usable[endpoint{target.Instance, target.Address}] {
				return true, nil
			}
		}
	}
	return false, nil
}
