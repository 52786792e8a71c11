package transfer

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// document returns a value of n lines, some of which are those of version 0.
func document(n, version int) []byte {
	var out strings.Builder
	for i := range n {
		line := 0
		if i%100 == 7 {
			line = version
		}
		fmt.Fprintf(&out, `{"name":"r-%x","prefix":"/%x/","service":"p","kind":"safe","timeout_ms":800}`+"\n", i*7919*7919+line, i*104729*31)
	}
	return []byte(out.String())
}

// TestBoundAllowsAnySize checks for random transfers that one which makes progress never counts as broken, and that
// one which stops does.
func TestBoundAllowsAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		beginsBy := time.Duration(rapid.IntRange(1, 3000).Draw(t, "begin ms")) * time.Millisecond
		b := NewBound(now, beginsBy)
		wait := beginsBy
		for range rapid.IntRange(0, 300).Draw(t, "parts") {
			gap := time.Duration(rapid.Int64Range(0, int64(wait)-1).Draw(t, "gap"))
			now = now.Add(gap)
			if b.IsBroken(now) {
				t.Fatalf("broken after a gap of %v", gap)
			}
			// At least the least rate for the time since the last part.
			b.Receive(now, int(gap.Seconds()*MinBytesPerSecond)+rapid.IntRange(1, 1<<16).Draw(t, "bytes"))
			wait = StallTimeout
		}
		if !b.IsBroken(now.Add(max(beginsBy, StallTimeout))) {
			t.Fatal("a transfer that has stopped does not count as broken")
		}
	})
}

// TestBoundEndsTrickle guards against a transfer that lasts for minutes since a byte arrives now and then.
func TestBoundEndsTrickle(t *testing.T) {
	now := clock.Instant(time.Hour)
	b, begin := NewBound(now, time.Second), now
	for !b.IsBroken(now) {
		if now.Sub(begin) > 4*time.Second {
			t.Fatal("the transfer goes on")
		}
		b.Receive(now, 1)
		now = now.Add(StallTimeout / 2)
	}
}

// TestDifferenceIsSmall guards against a value that is sent as a whole to a receiver that has nearly all of it.
func TestDifferenceIsSmall(t *testing.T) {
	base, value := document(3000, 0), document(3000, 1)
	whole, err := Encode(value, nil)
	if err != nil {
		t.Fatal(err)
	}
	difference, err := Encode(value, base)
	if err != nil || !difference.IsDelta || whole.IsDelta {
		t.Fatal(err, difference.IsDelta, whole.IsDelta)
	}
	// 30 of 3,000 lines differ.
	if len(whole.Data) > len(value)/4 || len(difference.Data) > len(whole.Data)/10 {
		t.Errorf("%d bytes, as a difference %d, for a value of %d", len(whole.Data), len(difference.Data), len(value))
	}
}

// TestValuesForReceivers checks for random series of values that each receiver decodes the value that it asked for,
// whatever it has, and that the bounds hold.
func TestValuesForReceivers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var values Values
		var all [][]byte
		for range rapid.IntRange(1, 30).Draw(t, "values") {
			size := rapid.SampledFrom([]int{1, 100, 20_000, 3 << 20}).Draw(t, "size")
			value := append(fmt.Appendf(nil, "%d ", rapid.IntRange(0, 20).Draw(t, "content")), bytes.Repeat([]byte("x"), size)...)
			all = append(all, value)
			values.Add(value)
			base := rapid.SampledFrom(append([][]byte{nil}, all...)).Draw(t, "base")
			encoded, ok, err := values.Encoded(replica.ReferenceTo(value).Hash, replica.ReferenceTo(base).Hash)
			if err != nil || !ok {
				t.Fatalf("the latest value is not known, error %v", err)
			}
			got, err := Decode(encoded, base, replica.ReferenceTo(value))
			if err != nil || !bytes.Equal(got, value) {
				t.Fatalf("%d bytes decoded, expected %d, error %v", len(got), len(value), err)
			}
			total := 0
			for _, kept := range values.values[:len(values.values)-1] {
				total += len(kept.value)
			}
			if total > maxValueBytes || len(values.values) > maxValues || len(values.encodings) > maxEncodings {
				t.Fatalf("%d values of %d bytes and %d encodings are kept", len(values.values), total, len(values.encodings))
			}
		}
		if _, ok, _ := values.Encoded(1, 0); ok {
			t.Fatal("a value that was never added is known")
		}
	})
}

// FuzzDecode guards against bytes of a peer that crash the receiver, fill its memory or pass for the value.
func FuzzDecode(f *testing.F) {
	base := document(50, 0)
	for _, b := range [][]byte{nil, base} {
		encoded, err := Encode(document(50, 1), b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded.Data, encoded.IsDelta)
	}
	want := document(50, 1)
	f.Fuzz(func(t *testing.T, data []byte, isDelta bool) {
		got, err := Decode(Encoded{IsDelta: isDelta, Data: data}, base, replica.ReferenceTo(want))
		if err == nil && !bytes.Equal(got, want) {
			t.Errorf("%d bytes are taken for the value", len(got))
		}
	})
}

// TestAttempts checks for random sequences that no further VM is asked while a transfer makes progress, that one is
// asked in time otherwise, and that the number of attempts is bounded.
func TestAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		var a Attempts
		var received []bool // of the attempts under way
		startedAt := now
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			isReceiving := slices.Contains(received, true)
			isDue := len(received) == 0 || (!isReceiving && len(received) < maxAttempts && now.Sub(startedAt) >= HedgeDelay)
			if a.MayStart(now) != isDue || a.UnderWay() != len(received) {
				t.Fatalf("a further attempt is due: %v, expected %v, with %v under way", a.MayStart(now), isDue, received)
			}
			i := 0
			if len(received) > 0 {
				i = rapid.IntRange(0, len(received)-1).Draw(t, "attempt")
			}
			switch action := rapid.IntRange(0, 2).Draw(t, "action"); {
			case isDue:
				a.Start(now)
				received, startedAt = append(received, false), now
			case action == 0 && !received[i]:
				a.Receive()
				received[i] = true
			case action == 1:
				a.Fail(received[i])
				received = slices.Delete(received, i, i+1)
			}
		}
	})
}
