package enginepool

import "time"

const (
	// defaultFirstEvent and defaultReadPerToken are the time to the first event of an empty prompt
	// and the time to read a token before requests have shown them.
	defaultFirstEvent   = 50 * time.Millisecond
	defaultReadPerToken = 15 * time.Microsecond
	// priorWeight is the number of requests that the defaults count as, and priorTokens the size of
	// the prompts of these.
	priorWeight = 3
	priorTokens = 8000
	// sampleDecay is the weight that earlier requests keep with each new one. The model follows a
	// change within some hundred requests.
	sampleDecay = 0.995
	// maxSampleFactor bounds a sample relative to the expectation: a request that met another one
	// of unknown origin must not decide.
	maxSampleFactor = 3
	// minReadPerToken and minFirstEvent keep the model away from zero.
	minReadPerToken = 100 * time.Nanosecond
	minFirstEvent   = time.Millisecond
)

// timeModel learns how long an engine of normal pace takes to the first event, as a linear function
// of the prompt tokens that it has to read. It is a weighted linear regression.
type timeModel struct {
	weight, sumX, sumY, sumXX, sumXY float64
	// base and perToken are in nanoseconds.
	base     float64
	perToken float64
}

func newTimeModel() timeModel {
	return timeModel{base: float64(defaultFirstEvent), perToken: float64(defaultReadPerToken)}
}

// firstEvent returns the time to the first event.
func (m *timeModel) firstEvent(tokens int, pace float64) time.Duration {
	return time.Duration((m.base + m.perToken*float64(tokens)) * pace)
}

// reading returns the time to read tokens.
func (m *timeModel) reading(tokens int, pace float64) time.Duration {
	return time.Duration(m.perToken * float64(tokens) * pace)
}

// add records that a request took a time to its first event.
func (m *timeModel) add(tokens int, pace float64, took time.Duration) {
	expected := m.base + m.perToken*float64(tokens)
	x, y := float64(tokens), min(float64(took)/pace, maxSampleFactor*expected)
	m.weight = m.weight*sampleDecay + 1
	m.sumX = m.sumX*sampleDecay + x
	m.sumY = m.sumY*sampleDecay + y
	m.sumXX = m.sumXX*sampleDecay + x*x
	m.sumXY = m.sumXY*sampleDecay + x*y
	m.fit()
}

// fit computes the line from the samples and the defaults. The defaults count as requests without
// a prompt and as many with priorTokens.
func (m *timeModel) fit() {
	const first, last = float64(defaultFirstEvent), float64(defaultFirstEvent) + priorTokens*float64(defaultReadPerToken)
	weight := m.weight + 2*priorWeight
	sumX, sumY := m.sumX+priorWeight*priorTokens, m.sumY+priorWeight*(first+last)
	sumXX, sumXY := m.sumXX+priorWeight*priorTokens*priorTokens, m.sumXY+priorWeight*priorTokens*last
	m.perToken = max((weight*sumXY-sumX*sumY)/(weight*sumXX-sumX*sumX), float64(minReadPerToken))
	m.base = max((sumY-m.perToken*sumX)/weight, float64(minFirstEvent))
}
