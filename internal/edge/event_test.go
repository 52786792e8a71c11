package edge

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzReadEvent guards against a panic on the bytes of a stream, and against events that are
// changed, lost or longer than the limit.
func FuzzReadEvent(f *testing.F) {
	for _, text := range []string{"id: 1\ndata: x\n\n", ":\n\n", "\r\n", "id:1\r\ndata\r\n\r\nid: 2", "\n\n\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := bufio.NewReader(bytes.NewReader(text))
		rest := text
		for {
			event, err := readEvent(reader)
			if err != nil {
				return
			}
			if !bytes.HasPrefix(rest, event.text) || len(event.text) == 0 || len(event.text) > maxEventBytes {
				t.Fatalf("event %q in place of the start of %q", event.text, rest)
			}
			rest = rest[len(event.text):]
			if event.id != "" && !event.follows("") {
				t.Fatalf("event %q may not come first", event.id)
			}
		}
	})
}
