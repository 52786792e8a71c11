package pipeline

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

const contentTypeJSON = "application/json"

// prefixBytes is how much of an input identifies a prompt prefix. Longer common
// prefixes map to the same hash, shorter ones share no cache worth a detour.
const prefixBytes = 256

// payload is an opaque body with its content type.
type payload struct {
	contentType string
	body        []byte
}

// bothInput joins the request and the previous result for a stage with input both.
func bothInput(request, previous payload) payload {
	out := make([]byte, 0, len(request.body)+len(previous.body)+64)
	out = append(out, `{"request":`...)
	out = appendEmbedded(out, request)
	out = append(out, `,"previous":`...)
	out = appendEmbedded(out, previous)
	return payload{contentTypeJSON, append(out, '}')}
}

// joinResults joins the results of a fan-out as an object by pool name.
func joinResults(pools []string, results []payload) payload {
	out := []byte{'{'}
	for i, pool := range pools {
		if i > 0 {
			out = append(out, ',')
		}
		out = appendString(out, pool)
		out = append(out, ':')
		out = appendEmbedded(out, results[i])
	}
	return payload{contentTypeJSON, append(out, '}')}
}

// appendEmbedded appends JSON as it is and any other body as a base64 string. A body
// that only claims to be JSON is not embedded, since it would break the document.
func appendEmbedded(out []byte, p payload) []byte {
	if isJSON(p.contentType) && json.Valid(p.body) {
		return append(out, p.body...)
	}
	out = append(out, '"')
	out = base64.StdEncoding.AppendEncode(out, p.body)
	return append(out, '"')
}

func appendString(out []byte, s string) []byte {
	// A string always has a JSON encoding.
	encoded, _ := json.Marshal(s)
	return append(out, encoded...)
}

func isJSON(contentType string) bool {
	kind, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(kind), contentTypeJSON)
}

// fingerprint identifies a caller's request at a stage for suspect tracking. The body is the
// caller's: what earlier stages answered may differ when the request is sent again. SHA-256
// keeps a caller from crafting a body that shares the fingerprint of another request.
func fingerprint(route, stage string, body []byte) dispatch.Fingerprint {
	hash := sha256.New()
	hash.Write([]byte(route))
	hash.Write([]byte{0})
	hash.Write([]byte(stage))
	hash.Write([]byte{0})
	hash.Write(body)
	var sum [sha256.Size]byte
	return dispatch.Fingerprint(hash.Sum(sum[:0])[:16])
}

// prefixHash identifies the prompt prefix of an input; it is never 0.
func prefixHash(body []byte) uint64 {
	return max(1, xxhash.Sum64(body[:min(len(body), prefixBytes)]))
}
