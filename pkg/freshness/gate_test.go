package freshness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestGateModel guards against a second question while one is open, questions without a pause while no VM has newer
// tables, requests that wait without a question, and requests that are placed by old tables although a VM with newer
// ones could be asked.
func TestGateModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := New(2*time.Second, 1600*time.Millisecond), clock.Instant(time.Hour)
		isOpen, failedAt := false, clock.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if isOpen && rapid.Bool().Draw(t, "answer") {
				isRecent := rapid.Bool().Draw(t, "recent")
				g.End(now, isRecent)
				isOpen = false
				if !isRecent {
					failedAt = now
				}
				continue
			}
			age := time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond
			hasSource := rapid.Bool().Draw(t, "source")
			isQuiet := failedAt != 0 && now.Sub(failedAt) < RetryDelay
			expected := Place
			switch {
			case age <= g.MaxAge():
			case isOpen:
				expected = Wait
			case hasSource && !isQuiet:
				expected, isOpen = Ask, true
			}
			if verdict := g.Decide(now, age, hasSource); verdict != expected {
				t.Fatalf("verdict %d at age %v, source %v, expected %d", verdict, age, hasSource, expected)
			}
		}
	})
}

// TestMaxAge guards against tables that count as recent although an upstream may have left since, and against
// questions while nothing fails.
func TestMaxAge(t *testing.T) {
	const calm = 1600 * time.Millisecond
	for drain, expected := range map[time.Duration]time.Duration{0: calm, 2 * time.Second: calm, 3 * time.Second: 2500 * time.Millisecond} {
		if maxAge := New(drain, calm).MaxAge(); maxAge != expected {
			t.Errorf("drain time %v: %v, expected %v", drain, maxAge, expected)
		}
	}
}
