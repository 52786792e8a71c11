package evaluate

import (
	"bytes"
	"testing"
	"time"
)

// TestSameSeedSameOutput guards against nondeterminism, which would make results of two
// versions incomparable.
func TestSameSeedSameOutput(t *testing.T) {
	var first, second bytes.Buffer
	runColdStart(&first, 3)
	runColdStart(&second, 3)
	if first.Len() == 0 || !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Errorf("two runs with the same seed differ:\n%s\n%s", first.String(), second.String())
	}
}

// TestEveryRequestIsCountedOnce guards against statistics that miss requests or
// count them twice.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	for _, p := range policies {
		c := newWarmCluster(2, p, 1.2*capacityPerSecond, 10*time.Second)
		c.generateLoad(1.2*capacityPerSecond, 10*time.Second, true)
		c.sim.runUntil(c.sim.now.Add(requestDeadline + time.Second))
		sum := 0
		for _, n := range c.stats.results {
			sum += n
		}
		if sum != c.stats.offered || sum == 0 {
			t.Errorf("%s: %d of %d requests ended", p, sum, c.stats.offered)
		}
	}
}

// TestCoreHonoursColdLimit guards against attempts that exceed the cold capacity of an
// upstream, in a scenario where no upstream turns cold undetected (guarantee G2).
func TestCoreHonoursColdLimit(t *testing.T) {
	c := newCluster(4, policyCore, 60*time.Second)
	c.scheduleZoneOutage()
	c.generateLoad(0.9*capacityPerSecond, 60*time.Second, true)
	if n := c.overLimitStarts(); n != 0 {
		t.Errorf("%d attempts exceeded the cold capacity of an upstream", n)
	}
}
