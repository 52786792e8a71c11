package gateway

import (
	"bufio"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/claim"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

const contentTypeEvents = "text/event-stream"

// serveStream answers with server-sent events. A request that ends before its first
// event is answered as a whole, with its own status.
func (g *Gateway) serveStream(a *arrival, d *driver, ticket dispatch.Ticket, run claim.Run) {
	d.out, d.gone = make(chan []byte, outBuffer), make(chan struct{})
	kept := &claim.Result{Status: fasthttp.StatusOK, ContentType: contentTypeEvents}
	finished := make(chan struct{})
	go func() {
		d.serve()
		g.leave(ticket)
		close(d.out)
		close(finished)
	}()
	first, streams := <-d.out
	if !streams {
		<-finished
		g.settle(d, run, d.answer())
		g.answerWhole(a, d)
		return
	}
	g.metrics.firstEvent.WithLabelValues(a.plan.route.Name).Observe(g.options.Now().Sub(a.at).Seconds())
	a.ctx.SetContentType(contentTypeEvents)
	a.ctx.Response.Header.Set("Cache-Control", "no-store")
	a.ctx.Response.ImmediateHeaderFlush = true
	// The server resets its context when the stream ends, so nothing below may use it.
	end := *a
	end.ctx = nil
	a.ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.inFlight.Add(-1)
		g.writeStream(d, w, first, kept, run != nil)
		<-finished
		g.settle(d, run, kept)
		if d.refusal != nil {
			writeProblem(w, d.refusal, end.request)
		}
		g.count(&end, d.refusal)
	})
}

// writeStream passes events to the caller until the request ends. If the caller has
// gone or does not read, the request is aborted.
func (g *Gateway) writeStream(d *driver, w *bufio.Writer, first []byte, kept *claim.Result, keep bool) {
	lost := false
	for data, open := first, true; open; data, open = <-d.out {
		if keep {
			kept.Body = append(kept.Body, data...)
		}
		if lost {
			continue
		}
		_, err := w.Write(data)
		if err == nil && len(d.out) == 0 {
			err = w.Flush()
		}
		if err != nil {
			lost = true
			// A call that may not be repeated goes on, so that a resend finds its result.
			if !keep {
				d.abort(errkind.New(errkind.StreamBroken, "the caller has gone"))
			}
		}
	}
}

// writeProblem ends a stream with the problem document as an event of type error.
func writeProblem(w *bufio.Writer, refusal *errkind.Error, request string) {
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(problemDocument(refusal, request))
	_, _ = w.WriteString("\n\n")
	_ = w.Flush()
}
