package standin

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// streamTokens sends the response as server-sent events, one for each token, starting at
// Hoist-Resume-From.
func (u *Upstream) streamTokens(ctx *fasthttp.RequestCtx, c *call) {
	from, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Hoist-Resume-From")))
	u.mu.Lock()
	breakAfter := u.behaviour.BreakAfter
	u.behaviour.BreakAfter = 0
	u.stats.Resumed += boolToInt(from > 0)
	u.stats.InFlight++
	identity := c.request + "/" + c.stage + "/" + c.attempt
	// The handler returns and removes its entry before the stream ends, so the stream needs
	// an entry of its own.
	cancelled := make(chan struct{})
	u.running["stream/"+identity] = cancelled
	u.mu.Unlock()
	ctx.SetContentType("text/event-stream")
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer u.endStream(identity, cancelled)
		for i := from; i < c.behaviour.Tokens; i++ {
			if breakAfter > 0 && i-from >= breakAfter {
				if tracked, ok := conn.(*trackedConn); ok {
					resetConn(tracked.Conn)
				}
				return
			}
			fmt.Fprintf(w, "data: {\"index\":%d,\"id\":%q}\n\n", i, c.callerID)
			if err := w.Flush(); err != nil {
				u.countCancelled()
				return
			}
			u.countToken()
			if !waitTokenTime(time.Duration(c.behaviour.TokenTime), cancelled) {
				u.countCancelled()
				return
			}
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
}

// waitTokenTime returns false if the call is cancelled first.
func waitTokenTime(d time.Duration, cancelled <-chan struct{}) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cancelled:
		return false
	}
}

func (u *Upstream) endStream(identity string, cancelled chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats.InFlight--
	if u.running["stream/"+identity] == cancelled {
		delete(u.running, "stream/"+identity)
	}
}

func (u *Upstream) countToken() {
	u.mu.Lock()
	u.stats.Tokens++
	u.mu.Unlock()
}

func (u *Upstream) countCancelled() {
	u.mu.Lock()
	u.stats.Cancelled++
	u.mu.Unlock()
}

// handleCancel cancels the call that the identity headers specify.
func (u *Upstream) handleCancel(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	identity := string(header.Peek(headerRequest)) + "/" + string(header.Peek(headerStage)) + "/" + string(header.Peek(headerAttempt))
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, key := range []string{identity, "stream/" + identity} {
		if cancelled := u.running[key]; cancelled != nil {
			close(cancelled)
			delete(u.running, key)
			u.stats.Cancelled++
		}
	}
}
