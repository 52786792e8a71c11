package edge

import (
	"time"

	"go.uber.org/zap"
)

// silentForgetDelay is the time in which requests whose exchanges were ended record a failure of their upstreams.
const silentForgetDelay = 50 * time.Millisecond

// endSilentExchanges ends the exchanges with upstreams on direct connections that received no byte for the given
// time, at a VM that is partitioned from all upstreams. They would hold their places at the upstreams' limits until
// they time out. Requests that may run again go on through other VMs; the others end without a known result.
func (s *Server) endSilentExchanges(silent time.Duration) {
	ended := s.client.CloseSilent(silent, s.partition.isUpstream)
	if ended == 0 {
		return
	}
	s.logger.Info("exchanges ended since no upstream is in reach", zap.Int("exchanges", ended), zap.Duration("silent", silent))
	<-time.After(silentForgetDelay)
	s.upstreams.forgetFailures()
	for _, runner := range s.currentPoolRunners() {
		runner.forgetFailures()
	}
}
