package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/resume"
)

// joinUnseen lets an upstream of a version join while the store rejects VM 0, which therefore does not know it.
func (v *versionedStreams) joinUnseen(version string) *testUpstream {
	v.t.Helper()
	v.fleet.sources[0].rejected.Store(true)
	u := newTestUpstream(v.t, "joined", v.handler(version))
	v.fleet.store.put("u/joined", &catalog.Upstream{ID: u.id, Pool: "p", Address: u.address(), Zone: "zone-a", SoftwareVersion: version})
	return u
}

// awaitSole waits until the versions of the pool tell the origin of a stream.
func (v *versionedStreams) awaitSole(within time.Duration) {
	v.t.Helper()
	await(v.t, "a pool that has had one version for long enough", func() bool {
		return v.fleet.servers[0].findOrigin(originQuestion{pool: "p", within: within}).Certainty == resume.Sole
	})
}

// TestStreamOfVersionThatJoinedUnseen guards against a stream that began at a new version through another VM
// and is resumed at the old one, by a VM that has been cut off from the store for less than a second and
// takes the old version for the only one.
func TestStreamOfVersionThatJoinedUnseen(t *testing.T) {
	const timeout = 4 * time.Second
	v := startVersionedStreams(t, 1, timeout, "old")
	v.awaitSole(timeout)
	v.joinUnseen("new")
	if status, versions := v.resume(0, "r", "begun at the new version"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d with events of %v, expected a refusal", status, versions)
	}
}

// TestStreamOfPausedVM guards against the same join by a VM that has the answer to a watch from before a
// pause, and learns of the new version while the caller waits.
func TestStreamOfPausedVM(t *testing.T) {
	const timeout = 4 * time.Second
	v := startVersionedStreams(t, 1, timeout, "old")
	v.awaitSole(timeout)
	v.joinUnseen("new")
	time.AfterFunc(300*time.Millisecond, func() { v.fleet.sources[0].rejected.Store(false) })
	if status, versions := v.resume(0, "r", "begun at the new version"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d with events of %v, expected a refusal", status, versions)
	}
	await(t, "the new version is known", func() bool { return len(v.fleet.servers[0].view.Load().ByID) == 2 })
}

// TestPromptOfVersionThatJoinedUnseen guards against the same join by the caches: an engine of the old version
// still caches the prompt of the session, and the VM does not know the engine that began the stream.
func TestPromptOfVersionThatJoinedUnseen(t *testing.T) {
	v := startEngineStreams(t, 1, "old")
	v.beginPrompt(0, "session")
	u := v.joinUnseen("new")
	u.mu.Lock()
	u.cached["own-session"] = 1
	u.mu.Unlock()
	response, body, err := v.fleet.send(0, "r", "/once/", map[string]string{"Last-Event": "2", "Resumed": "begun at the new version", "Prompt": "shared own-session"})
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("events of %v, error %v; expected a refusal", versionsOf(body), err)
	}
}
