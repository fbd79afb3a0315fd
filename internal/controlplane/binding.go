package controlplane

// An epoch is binding if a proxy must not serve under an earlier one: it has a change set,
// which is acknowledged as in force, or it removes a target, which may rely on receiving no
// more requests. An epoch that only adds targets or changes shares is not binding: a proxy
// that has not applied it yet still serves correctly.

// removesTarget reports whether a target that is usable in the previous epoch (its weight is
// above zero) is not usable at the same address in the next one, or whether a group was
// removed. The error is a *DamagedGroupError.
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
