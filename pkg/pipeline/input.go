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

// prefixBytes is the length of the prompt prefix that is hashed. Inputs with a longer common
// prefix have the same hash. Sharing a cache for shorter ones does not justify a less suitable
// upstream.
const prefixBytes = 256

// payload is an opaque body with its content type.
type payload struct {
	contentType string
	body        []byte
}

// requestAndPrevious returns the input of a stage with input both: the request and the previous
// result in one object.
func requestAndPrevious(request, previous payload) payload {
	out := make([]byte, 0, len(request.body)+len(previous.body)+64)
	out = append(out, `{"request":`...)
	out = appendEmbedded(out, request)
	out = append(out, `,"previous":`...)
	out = appendEmbedded(out, previous)
	return payload{contentTypeJSON, append(out, '}')}
}

// joinResults returns the results of a fan-out as an object keyed by pool name.
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

// appendEmbedded appends JSON as it is and any other body as a base64 string. An invalid body
// with a JSON content type is encoded too, since it would make the whole document invalid.
func appendEmbedded(out []byte, p payload) []byte {
	if isJSON(p.contentType) && json.Valid(p.body) {
		return append(out, p.body...)
	}
	out = append(out, '"')
	out = base64.StdEncoding.AppendEncode(out, p.body)
	return append(out, '"')
}

func appendString(out []byte, s string) []byte {
	// Marshaling a string never fails.
	encoded, _ := json.Marshal(s)
	return append(out, encoded...)
}

func isJSON(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), contentTypeJSON)
}

// fingerprint identifies a request at a stage for poison request detection. It uses the body
// of the caller, since answers of earlier stages may differ when the request is sent again.
// SHA-256 prevents a caller from crafting a body with the fingerprint of another request.
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
