package poison

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const start = clock.Instant(time.Hour)

func fingerprint(n int) (fp Fingerprint) {
	binary.BigEndian.PutUint64(fp[:], uint64(n)+1)
	return fp
}

// TestTwoCrashesRefuse guards against a request that keeps crashing upstreams.
func TestTwoCrashesRefuse(t *testing.T) {
	table, fp := New(), fingerprint(0)
	table.RecordCrash(start, fp, "u1", "a")
	if got := table.Check(start, fp); got != Isolate {
		t.Fatalf("verdict %v after one crash", got)
	}
	table.BeginIsolatedRun(fp)
	if got := table.Check(start, fp); got != Wait {
		t.Errorf("verdict %v while the isolated run is in progress", got)
	}
	table.RecordCrash(start+1, fp, "u2", "a")
	if got := table.Check(start+1, fp); got != Wait {
		t.Errorf("verdict %v before the crashes are confirmed", got)
	}
	later := start.Add(correlationWindow + 1)
	if got := table.Check(later, fp); got != Refuse {
		t.Errorf("verdict %v after two confirmed crashes", got)
	}
	if suspects := table.TakeNewlyConfirmed(later); len(suspects) != 1 || len(suspects[0].Upstreams) != 2 {
		t.Errorf("reported %v", suspects)
	}
	if suspects := table.TakeNewlyConfirmed(later); len(suspects) != 0 {
		t.Errorf("reported again: %v", suspects)
	}
	if got := table.Check(later.Add(EntryLifetime), fp); got != Allow {
		t.Errorf("verdict %v after the entry lifetime", got)
	}
}

// TestSameUpstreamCountsOnce guards against repeated crashes of one broken upstream leading to the
// refusal of a request.
func TestSameUpstreamCountsOnce(t *testing.T) {
	table, fp := New(), fingerprint(0)
	for i := range 5 {
		table.RecordCrash(start.Add(time.Duration(i)*time.Minute), fp, "u1", "a")
	}
	if got := table.Check(start.Add(5*time.Minute), fp); got != Isolate {
		t.Errorf("verdict %v", got)
	}
}

// TestInfrastructureFailureIsNotAttributed guards against refusing innocent requests
// after a rack failure, including those that were running on two crashed upstreams.
func TestInfrastructureFailureIsNotAttributed(t *testing.T) {
	table := New()
	table.RecordCrash(start, fingerprint(0), "u1", "a")
	table.RecordCrash(start+1, fingerprint(0), "u2", "a")
	table.RecordCrash(start+2, fingerprint(1), "u3", "a")
	table.RecordCrash(start+3, fingerprint(2), "u4", "a")
	for i := range 3 {
		if got := table.Check(start+4, fingerprint(i)); got != Allow {
			t.Errorf("request %d: verdict %v", i, got)
		}
	}
}

// TestUnrelatedCrashesAreAttributed guards against taking crashes in different zones or
// at different times for an infrastructure failure, which would hide a poison request.
func TestUnrelatedCrashesAreAttributed(t *testing.T) {
	table := New()
	for i, zone := range []string{"a", "b", "c", "a", "a"} {
		at := start.Add(time.Duration(i/4) * 2 * correlationWindow)
		table.RecordCrash(at, fingerprint(i), fmt.Sprint("u", i), zone)
		if got := table.Check(at, fingerprint(i)); got != Isolate {
			t.Errorf("crash %d: verdict %v", i, got)
		}
	}
}

// TestSuccessClearsSuspect guards against an innocent request that remains a suspect.
func TestSuccessClearsSuspect(t *testing.T) {
	table, fp := New(), fingerprint(0)
	table.RecordCrash(start, fp, "u1", "a")
	table.RecordSuccess(fp)
	if got := table.Check(start, fp); got != Allow {
		t.Errorf("verdict %v", got)
	}
}

// TestMergeIsUnion guards against losing crashes that other gateways observed.
func TestMergeIsUnion(t *testing.T) {
	table, fp := New(), fingerprint(0)
	table.RecordCrash(start, fp, "u1", "a")
	suspect := Suspect{Fingerprint: fp, Upstreams: []string{"u1"}, Expires: start.Add(time.Hour)}
	table.Merge(start, &suspect)
	if got := table.Check(start, fp); got != Isolate {
		t.Errorf("verdict %v after merging the same crash", got)
	}
	suspect.Upstreams = []string{"u2"}
	table.Merge(start, &suspect)
	if got := table.Check(start, fp); got != Refuse {
		t.Errorf("verdict %v after merging another crash", got)
	}
	if got := table.Check(start.Add(EntryLifetime), fp); got != Allow {
		t.Error("the expiry from another gateway exceeds the entry lifetime")
	}
}

// TestTableIsBounded guards against a flood of crashes that exhausts memory or evicts
// a confirmed poison request.
func TestTableIsBounded(t *testing.T) {
	table, fp := New(), fingerprint(0)
	table.Merge(start, &Suspect{Fingerprint: fp, Upstreams: []string{"u1", "u2"}, Expires: start.Add(time.Minute)})
	for i := range 2 * MaxEntries {
		table.RecordCrash(start, fingerprint(i+1), "u3", "a")
	}
	if table.Len() > MaxEntries {
		t.Errorf("%d entries", table.Len())
	}
	if got := table.Check(start, fp); got != Refuse {
		t.Errorf("verdict %v for the confirmed request", got)
	}
	table.Expire(start.Add(EntryLifetime))
	if table.Len() != 0 {
		t.Errorf("%d entries after the entry lifetime", table.Len())
	}
}
