package edge

// askAll asks all targets at the same time, and returns a channel with one answer for each. A question that
// panics is answered with the zero value. The scope names the questions, in logs and metrics.
func askAll[T, A any](c *containment, scope string, targets []T, ask func(T) A) <-chan A {
	answers := make(chan A, len(targets))
	for _, target := range targets {
		go func() {
			var answer A
			defer func() { answers <- answer }()
			c.run(scope, func() { answer = ask(target) })
		}()
	}
	return answers
}
