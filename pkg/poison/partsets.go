package poison

import "slices"

// intersect returns the parts of a prompt that are among the sorted parts, in ascending order.
func intersect(prompt, sorted []Part) []Part {
	var out []Part
	for _, part := range prompt {
		if _, found := slices.BinarySearch(sorted, part); found {
			out = append(out, part)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// addMaximal adds a set of parts to sets of which none contains another one, unless one of them
// contains it.
func addMaximal(sets [][]Part, parts []Part) [][]Part {
	if len(parts) == 0 || slices.ContainsFunc(sets, func(set []Part) bool { return containsAll(set, parts) }) {
		return sets
	}
	sets = slices.DeleteFunc(sets, func(set []Part) bool { return containsAll(parts, set) })
	return append(sets, parts)
}

// containsAll reports whether a prompt has all the parts.
func containsAll(prompt, parts []Part) bool {
	return !slices.ContainsFunc(parts, func(part Part) bool { return !slices.Contains(prompt, part) })
}
