package gateway

import (
	"bufio"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/claim"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

const contentTypeEvents = "text/event-stream"

// serveStream answers with server-sent events. A request that ends before its first event
// gets an ordinary answer with its own status.
func (g *Gateway) serveStream(in *incomingRequest, d *driver, ticket dispatch.Ticket, claimRun claim.Run) {
	d.events, d.deliveryStopped = make(chan []byte, eventBufferSize), make(chan struct{})
	recorded := &claim.Result{Status: fasthttp.StatusOK, ContentType: contentTypeEvents}
	finished := make(chan struct{})
	go func() {
		d.execute()
		g.releaseAdmission(ticket)
		close(d.events)
		close(finished)
	}()
	first, streaming := <-d.events
	if !streaming {
		<-finished
		g.endClaim(d, claimRun, d.claimResult())
		g.writeAnswer(in, d)
		return
	}
	g.metrics.firstEvent.WithLabelValues(in.route.definition.Name).Observe(g.options.Now().Sub(in.arrivedAt).Seconds())
	in.ctx.SetContentType(contentTypeEvents)
	in.ctx.Response.Header.Set("Cache-Control", "no-store")
	in.ctx.Response.ImmediateHeaderFlush = true
	// The server resets its context when the stream ends, so the stream writer must not use it.
	detached := *in
	detached.ctx = nil
	in.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.inFlight.Add(-1)
		g.writeStream(d, w, first, recorded, claimRun != nil)
		<-finished
		g.endClaim(d, claimRun, recorded)
		if d.refusal != nil {
			writeProblemEvent(w, d.refusal, detached.requestID)
		}
		g.recordRequest(&detached, d.refusal)
	})
}

// writeStream writes events to the caller until the request ends. If the caller has
// disconnected or does not read, the request is aborted unless its result is recorded.
func (g *Gateway) writeStream(d *driver, w *bufio.Writer, first []byte, recorded *claim.Result, record bool) {
	disconnected := false
	for data, open := first, true; open; data, open = <-d.events {
		if record {
			recorded.Body = append(recorded.Body, data...)
		}
		if disconnected {
			continue
		}
		_, err := w.Write(data)
		if err == nil && len(d.events) == 0 {
			err = w.Flush()
		}
		if err != nil {
			disconnected = true
			// A claimed request continues, so that a resend of it gets the recorded result.
			if !record {
				d.abort(errkind.New(errkind.StreamBroken, "the caller has gone"))
			}
		}
	}
}

// writeProblemEvent ends a stream with an event of type error that holds the problem document.
func writeProblemEvent(w *bufio.Writer, refusal *errkind.Error, requestID string) {
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(problemDocument(refusal, requestID))
	_, _ = w.WriteString("\n\n")
	_ = w.Flush()
}
