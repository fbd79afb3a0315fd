package checker

// versionedChanges: two changes over one version are both accepted, an accepted one is not
// over the one accepted before it, a refused one is in force, or the newest that was
// acknowledged is lost or not read back as it was sent.
func versionedChanges(records []Record, report reporter) {
	changes := versionsOf(records, report)
	changes.checkSuccession(report)
	replacements := completeReplacements(records)
	for _, read := range ofKind(records, ConfigurationRead) {
		changes.checkRead(read, replacements, report)
	}
}

// versionHistory is the changes under operators' versions, by name.
type versionHistory struct {
	changes  map[string]Record
	outcomes map[string]string
	possible map[uint64]bool // versions that are not known to be refused; zero is the first
}

func (v *versionHistory) isAccepted(name string) bool { return v.outcomes[name] == OutcomeAccepted }

// versionsOf collects the changes and their outcomes, and reports those that are accepted
// though they are invalid, twice in different ways, or though they were refused.
func versionsOf(records []Record, report reporter) *versionHistory {
	v := &versionHistory{changes: map[string]Record{}, outcomes: map[string]string{}, possible: map[uint64]bool{0: true}}
	for _, r := range ofKind(records, VersionedChange) {
		isAccepted, earlier := r.Outcome == OutcomeAccepted, v.changes[r.Name]
		wasAccepted := earlier.Outcome == OutcomeAccepted
		if r.Invalid && isAccepted {
			report(r.At, "%s is invalid and was accepted", r.Name)
		}
		if isAccepted && wasAccepted && (earlier.Epoch != r.Epoch || earlier.Revision != r.Revision) {
			report(r.At, "%s was accepted as version %d in epoch %d and as version %d in epoch %d", r.Name, earlier.Revision, earlier.Epoch, r.Revision, r.Epoch)
		}
		switch outcome := v.outcomes[r.Name]; {
		case isAccepted && outcome == OutcomeRefused:
			report(r.At, "%s was refused, and is accepted", r.Name)
		case r.Outcome == OutcomeRefused && outcome == OutcomeAccepted:
			report(r.At, "%s was accepted, and is refused", r.Name)
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

// checkSuccession reports accepted changes that do not follow one another.
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
			report(r.At, "%s was accepted over version %d, which never was", name, r.From)
		}
		for between, other := range v.changes {
			if v.isAccepted(between) && other.Revision > r.From && other.Revision < r.Revision {
				report(r.At, "%s is version %d over %d, and %s is version %d", name, r.Revision, r.From, between, other.Revision)
			}
		}
	}
}

func (v *versionHistory) checkRead(read Record, replacements []Record, report reporter) {
	for name, r := range v.changes {
		digest, isThere := read.Destinations[name]
		isReplaced := false
		for _, replacement := range replacements {
			isNewer := replacement.Epoch > r.Epoch && replacement.Epoch <= read.Epoch
			mayBeNewer := replacement.Epoch == 0 && replacement.Start < read.At
			isReplaced = isReplaced || isNewer || mayBeNewer
		}
		switch {
		case v.outcomes[name] == OutcomeRefused && isThere:
			report(read.At, "%s was refused and is in force", name)
		case isThere && digest != r.Digest:
			report(read.At, "%s is read back as %s and was sent as %s", name, digest, r.Digest)
		case v.isAccepted(name) && r.At < read.Start && read.Revision < r.Revision:
			report(read.At, "version %d was acknowledged at %s, and version %d is in force", r.Revision, r.At, read.Revision)
		case v.isAccepted(name) && read.Revision == r.Revision && !isThere && !isReplaced:
			report(read.At, "version %d is in force without %s", r.Revision, name)
		}
	}
	if read.Revision > 0 && !v.possible[read.Revision] {
		report(read.At, "version %d is in force, and was refused or never sent", read.Revision)
	}
}

// completeReplacements returns the change sets that replaced all others, or may have, with
// the epochs that brought them into force; those of which that was never known bear none.
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
