package config

import "github.com/siskinford/siskinford/core/finding"

// Source is a value to check and its origin.
type Source struct {
	Kind Kind
	// Place is the prefix for the place of each finding, for example a file name.
	Place string
	// Value is the JSON of a ServiceSet, TeamSet or EndpointSet.
	Value []byte
}

// Check validates values that are not stored yet. References to services are checked
// only if the services are among the sources.
func Check(sources []Source) finding.List {
	var l finding.List
	s := NewSnapshot()
	hasServices := false
	for _, source := range sources {
		set, err := Decode(source.Kind, source.Value)
		if err != nil {
			l.Merge(source.Place+": ", findingsOf(err))
			continue
		}
		s = s.withSet(set)
		hasServices = hasServices || source.Kind == KindServices
	}
	if !hasServices {
		return l
	}
	for _, source := range sources {
		if source.Kind != KindServices {
			l.Merge(source.Place+": ", validateAcross(source.Kind, s))
		}
	}
	return l
}

// findingsOf returns the findings in an error of Decode.
func findingsOf(err error) finding.List {
	if l, ok := err.(finding.List); ok {
		return l
	}
	var l finding.List
	l.Addf("", "%v", err)
	return l
}
