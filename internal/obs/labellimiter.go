package obs

import "sync"

// LabelOther is the label value for all values without a series of their own.
const LabelOther = "other"

// LabelLimiter limits the number of distinct values of a label: the first ones are kept and
// all further ones are replaced by LabelOther. It is meant for labels from the configuration
// tables, such as routes and pools, whose values change while a process runs. It is safe for
// concurrent use.
type LabelLimiter struct {
	maxValues int

	mu       sync.RWMutex
	admitted map[string]bool
}

// NewLabelLimiter returns a limiter that admits maxValues values in addition to LabelOther.
func NewLabelLimiter(maxValues int) *LabelLimiter {
	return &LabelLimiter{maxValues: maxValues, admitted: map[string]bool{}}
}

// Value returns value if it is admitted, else LabelOther.
func (l *LabelLimiter) Value(value string) string {
	l.mu.RLock()
	admitted := l.admitted[value]
	l.mu.RUnlock()
	if admitted {
		return value
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.admitted[value] {
		return value
	}
	if len(l.admitted) >= l.maxValues {
		return LabelOther
	}
	l.admitted[value] = true
	return value
}
