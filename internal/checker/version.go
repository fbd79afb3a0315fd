package checker

// versionedChanges reports two changes that were accepted with the same base version, accepted
// changes whose base is not the version accepted before them, refused changes that are in force,
// and acknowledged changes that are lost or read back with a different digest.
func versionedChanges(records []Record, report reporter) {
	changes := collectVersions(records, report)
	changes.checkSuccession(report)
	replacements := completeReplacements(records)
	for _, read := range ofKind(records, ConfigurationRead) {
		changes.checkRead(read, replacements, report)
	}
}

// versionHistory holds the changes with operators' version numbers, by name.
type versionHistory struct {
	changes  map[string]Record
	outcomes map[string]string
	possible map[uint64]bool // versions that were not refused; 0 is the initial version
}

func (v *versionHistory) isAccepted(name string) bool { return v.outcomes[name] == OutcomeAccepted }

// collectVersions collects the changes and their outcomes. It reports invalid changes that were
// accepted, changes that were accepted under two versions or epochs, and changes that were both
// accepted and refused.
func collectVersions(records []Record, report reporter) *versionHistory {
	v := &versionHistory{changes: map[string]Record{}, outcomes: map[string]string{}, possible: map[uint64]bool{0: true}}
	for _, r := range ofKind(records, VersionedChange) {
		isAccepted, first := r.Outcome == OutcomeAccepted, v.changes[r.Name]
		wasAccepted := first.Outcome == OutcomeAccepted
		if r.Invalid && isAccepted {
			report(r.At, "%s is invalid and was accepted", r.Name)
		}
		if isAccepted && wasAccepted && (first.Epoch != r.Epoch || first.Revision != r.Revision) {
			report(r.At, "%s was accepted as version %d in epoch %d and as version %d in epoch %d", r.Name, first.Revision, first.Epoch, r.Revision, r.Epoch)
		}
		switch outcome := v.outcomes[r.Name]; {
		case isAccepted && outcome == OutcomeRefused:
			report(r.At, "%s was refused and is now accepted", r.Name)
		case r.Outcome == OutcomeRefused && outcome == OutcomeAccepted:
			report(r.At, "%s was accepted and is now refused", r.Name)
		}
		if v.outcomes[r.Name] == "" || r.Outcome != OutcomeUnknown {
			v.outcomes[r.Name] = r.Outcome
		}
		if !wasAccepted {
			v.changes[r.Name] = r
		}
	}
	for name, r := range v.changes {
		if v.outcomes[name] != OutcomeRefused {
			v.possible[r.Revision] = true
		}
	}
	return v
}

// checkSuccession reports accepted changes whose versions do not form a single sequence.
func (v *versionHistory) checkSuccession(report reporter) {
	successors := map[uint64]string{}
	for name, r := range v.changes {
		if !v.isAccepted(name) {
			continue
		}
		if other, ok := successors[r.From]; ok {
			report(r.At, "%s and %s were both accepted over version %d", other, name, r.From)
		}
		successors[r.From] = name
		if !v.possible[r.From] {
			report(r.At, "%s was accepted over version %d, which does not exist", name, r.From)
		}
		for otherName, other := range v.changes {
			if v.isAccepted(otherName) && other.Revision > r.From && other.Revision < r.Revision {
				report(r.At, "%s is version %d over version %d, but %s is version %d in between", name, r.Revision, r.From, otherName, other.Revision)
			}
		}
	}
}

func (v *versionHistory) checkRead(read Record, replacements []Record, report reporter) {
	for name, r := range v.changes {
		digest, isPresent := read.Destinations[name]
		isReplaced := false
		for _, replacement := range replacements {
			isNewer := replacement.Epoch > r.Epoch && replacement.Epoch <= read.Epoch
			mayBeNewer := replacement.Epoch == 0 && replacement.Start < read.At
			isReplaced = isReplaced || isNewer || mayBeNewer
		}
		switch {
		case v.outcomes[name] == OutcomeRefused && isPresent:
			report(read.At, "%s was refused and is in force", name)
		case isPresent && digest != r.Digest:
			report(read.At, "%s was read back as %s but sent as %s", name, digest, r.Digest)
		case v.isAccepted(name) && r.At < read.Start && read.Revision < r.Revision:
			report(read.At, "version %d was acknowledged at %s, but version %d is in force", r.Revision, r.At, read.Revision)
		case v.isAccepted(name) && read.Revision == r.Revision && !isPresent && !isReplaced:
			report(read.At, "version %d is in force without %s", r.Revision, name)
		}
	}
	if read.Revision > 0 && !v.possible[read.Revision] {
		report(read.At, "version %d is in force but was refused or never sent", read.Revision)
	}
}

// completeReplacements returns the change sets that replaced, or may have replaced, the whole
// configuration, each with its epoch, or with epoch 0 if that is unknown.
func completeReplacements(records []Record) (replacements []Record) {
	epochs, isAbsent := map[string]uint64{}, map[string]bool{}
	for _, r := range records {
		switch {
		case (r.Kind == ChangeSubmitted || r.Kind == ChangeQueried) && r.Outcome == OutcomeAccepted:
			epochs[r.Name] = r.Epoch
		case r.Kind == ChangeQueried:
			isAbsent[r.Name] = r.Outcome == OutcomeAbsent
		}
	}
	for _, r := range ofKind(records, ChangeSubmitted) {
		epoch, isKnown := epochs[r.Name]
		if r.ReplacesAll && (isKnown || r.Outcome != OutcomeRefused && !isAbsent[r.Name]) {
			r.Epoch = epoch
			replacements = append(replacements, r)
		}
	}
	return replacements
}
