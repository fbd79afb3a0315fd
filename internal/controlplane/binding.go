// Which epochs bind. Somebody was, or will be, given word that a change set holds or
// that a target takes nothing more: whoever goes on with an epoch from before that does
// harm. One that only brings targets or shares binds nobody, and a proxy that has not
// taken it yet serves as rightly as one that has.
package controlplane

import "strings"

// removesTarget tells whether a target that could be sent to in one epoch can't be in the
// next, or a group is gone.
func removesTarget(old, next *EpochState) bool {
	for name, group := range old.Groups {
		now, ok := next.Groups[name]
		if !ok {
			return true
		}
		service, isTargets := strings.CutPrefix(name, TargetsPrefix)
		if !isTargets || now.Digest == group.Digest {
			continue
		}
		type living struct{ instance, address string }
		kept := map[living]bool{}
		for _, t := range next.Targets(service) {
			kept[living{string(t.Instance), t.Address}] = t.Weight > 0
		}
		for _, t := range old.Targets(service) {
			if t.Weight > 0 && !kept[living{string(t.Instance), t.Address}] {
				return true
			}
		}
	}
	return false
}
