package edge

import "context"

type readProgressKey struct{}

// WithReadProgress returns a context for a read of the store in which ReportReadProgress calls report.
func WithReadProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, readProgressKey{}, report)
}

// ReportReadProgress tells the VM that a part of the answer of the store has arrived. A Source calls it, so that a
// large answer on a slow link does not count as none.
func ReportReadProgress(ctx context.Context) {
	if report, ok := ctx.Value(readProgressKey{}).(func()); ok {
		report()
	}
}
