// Package resume decides at which version of the upstreams' software a stream may be resumed.
//
// Upstreams of several software versions may serve one pool, and what two versions write does not fit
// together. A stream may therefore be resumed only at the version that began it. The VM that forwards the
// first event of a stream records the version, and copies the record to some other VMs, so that the VM at
// which the caller resumes the stream finds it. Without a record the version is still certain if the pool
// has had only one version for as long as any stream lasts, and if engines of one version alone cache the
// prompt of the stream.
//
// The types are deterministic and not safe for concurrent use.
package resume
