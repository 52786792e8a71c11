package routing

// Scorer computes the score of an upstream for an attempt; lower is better.
type Scorer interface {
	Score(q *Query, u *Upstream) float64
}

// zonePenalty is the utilization added to the score of an upstream of another zone.
const zonePenalty = 0.1

// LoadScorer scores by utilization and zone.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(q *Query, u *Upstream) float64 {
	score := u.Utilization(q.Now)
	if !u.OwnZone {
		score += zonePenalty
	}
	return score
}
