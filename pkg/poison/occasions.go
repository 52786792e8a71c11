package poison

import "slices"

// occasionCount counts the occasions on which a part was under suspicion.
type occasionCount struct {
	// first and last are the numbers of its first and last occasion.
	first     int
	last      int
	occasions int
	crashes   int
}

// isSuspicious reports whether the occasions suffice to block the part, of the total number of
// occasions of all parts.
func (c occasionCount) isSuspicious(total int, limits *partLimits, answered, isInBlock bool) bool {
	if isInBlock && c.occasions >= blockAloneAfterOccasions {
		return true
	}
	if float64(c.occasions) < limits.minOccasionShare*float64(total-c.first) {
		return false
	}
	sufficient := limits.neverAnswered
	if answered {
		sufficient = limits.answered
	}
	return slices.ContainsFunc(sufficient, func(e evidence) bool { return c.occasions >= e.occasions && c.crashes >= e.crashes })
}

// evidence is a number of crashes on a number of separate occasions.
type evidence struct{ occasions, crashes int }

// countOccasions counts the occasions of each part, and all occasions.
func countOccasions(incidents []*incident) (counts map[Part]occasionCount, total int) {
	counts = map[Part]occasionCount{}
	numbers := occasions(incidents)
	for i, in := range incidents {
		total = numbers[i] + 1
		for _, part := range in.parts() {
			c, ok := counts[part]
			if !ok {
				c = occasionCount{first: numbers[i], last: -1}
			}
			if c.last != numbers[i] {
				c.last = numbers[i]
				c.occasions++
			}
			c.crashes++
			counts[part] = c
		}
	}
	return counts, total
}

// occasions numbers incidents that are in the order of their times. Incidents within occasionGap have
// the same number, since one failure of the infrastructure may have caused them.
func occasions(incidents []*incident) []int {
	numbers := make([]int, len(incidents))
	begin := 0
	for i := 1; i < len(incidents); i++ {
		numbers[i] = numbers[i-1]
		if incidents[i].at.Sub(incidents[begin].at) >= occasionGap {
			numbers[i]++
			begin = i
		}
	}
	return numbers
}
