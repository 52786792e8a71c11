package ctl

import "fmt"

// cause derives from the log lines why the request failed, or says that it did not.
func (r *traceReport) cause() string {
	end := r.lastMatching(func(l *logLine) bool { return l.Message == "request failed" || l.Message == "request answered" })
	if end == nil {
		return "unknown; the logs do not have the end of the request, or the VM that took it ended first"
	}
	if end.Message == "request answered" {
		return "none; the request was answered"
	}
	switch end.Kind {
	case "overloaded", "no_upstream":
		return r.causeOfRefusal(end)
	case "upstream_failed", "stream_broken":
		return r.causeOfFailure(end)
	case "deadline_exceeded":
		return r.causeOfTimeout(end)
	case "tables_outdated":
		return fmt.Sprintf("%s had not been able to confirm its tables for %s, so that a key could have been taken away; "+
			`look for "store lost" and "tables not pulled" in its log`, end.VM, end.TablesAge)
	case "not_configured":
		return end.VM + ` had no configuration yet; look for "started" and "configuration in force" in its log`
	case "unauthenticated":
		return fmt.Sprintf("the key belongs to no workspace of version %d", end.Version)
	case "unknown_route":
		return fmt.Sprintf("no route of the version in force on %s serves %s", end.VM, end.Detail)
	case "caller_gone":
		return fmt.Sprintf("the caller left after %s; stages took %s of it", end.Elapsed, end.Stages)
	}
	return end.Kind + ": " + end.Detail
}

func (r *traceReport) causeOfRefusal(end *logLine) string {
	if refused := r.lastMatching(func(l *logLine) bool { return l.Message == "stage refused" }); refused != nil {
		return fmt.Sprintf("pool %s was overloaded: %d pieces waited at %s, and stage %d would have ended after %s while it was of use for %s",
			refused.Pool, refused.Waiting, refused.VM, refused.Stage, refused.Expected, refused.Limit)
	}
	if stage := r.lastMatching(func(l *logLine) bool { return l.Message == "stage ended" && l.Refusal != "" }); stage != nil {
		return fmt.Sprintf("stage %d of pool %s ended as %s after %s at owner %s", stage.Stage, stage.Pool, stage.Refusal, stage.Took, stage.Owner)
	}
	if attempt := r.lastMatching(func(l *logLine) bool { return l.Message == "attempt ended" }); attempt != nil {
		return fmt.Sprintf("%s did not take the request (%s), and no other upstream of pool %s could", attempt.Upstream, attempt.Detail, attempt.Pool)
	}
	return end.Detail
}

func (r *traceReport) causeOfFailure(end *logLine) string {
	attempt := r.lastMatching(func(l *logLine) bool { return l.Message == "attempt ended" })
	if attempt == nil {
		return end.Detail
	}
	return fmt.Sprintf("%s %s after %d sends, %d events had been passed on: %s", attempt.Upstream, attempt.End, end.Sends, end.Events, attempt.Detail)
}

func (r *traceReport) causeOfTimeout(end *logLine) string {
	if end.Upstream == "" {
		return fmt.Sprintf("the time was over while stages ran, which took %s", end.Stages)
	}
	return fmt.Sprintf("%s had not answered when the time was over after %s, of which stages took %s", end.Upstream, end.Elapsed, end.Stages)
}

// lastMatching returns the last line that matches, or nil.
func (r *traceReport) lastMatching(matches func(*logLine) bool) *logLine {
	for i := len(r.lines) - 1; i >= 0; i-- {
		if matches(&r.lines[i]) {
			return &r.lines[i]
		}
	}
	return nil
}
