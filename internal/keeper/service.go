// Package keeper serves claims and leases of one VM to gateways and synchronizes them
// with the other members of their groups.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// tickInterval is the interval at which due reads are sent.
	tickInterval = 100 * time.Millisecond
	// readTimeout is the timeout of one read.
	readTimeout = 2 * time.Second
	// maxConcurrentReads limits concurrent reads, so that a restart with many shards does
	// not starve the rest of the agent.
	maxConcurrentReads = 16
)

var errMalformed = status.Error(codes.InvalidArgument, "malformed key or state")

// Options configures a Service.
type Options struct {
	Member keeper.Options
	// Now reads the boot-time clock.
	Now       func() clock.Instant
	Transport peer.Transport
	Registry  prometheus.Registerer
	Logger    *zap.Logger
}

// Service implements the Keeper service of an agent.
type Service struct {
	hoistv1.UnimplementedKeeperServer

	options       Options
	pool          *peer.Pool
	metrics       *metrics
	readSemaphore chan struct{}

	mu        sync.Mutex
	member    *keeper.Member
	addresses map[string]string
}

// New returns a service without records.
func New(options Options) *Service {
	s := &Service{
		options: options, pool: peer.NewPool(options.Transport), readSemaphore: make(chan struct{}, maxConcurrentReads),
		member: keeper.NewMember(options.Member), addresses: map[string]string{},
	}
	s.metrics = newMetrics(options.Registry, s)
	return s
}

// Register registers the service on a gRPC server.
func (s *Service) Register(registrar grpc.ServiceRegistrar) {
	hoistv1.RegisterKeeperServer(registrar, s)
}

// ApplyList applies a published list of VMs.
func (s *Service) ApplyList(revision uint64, vms []table.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member.ApplyList(s.options.Now(), keeper.NewVMList(revision, vms))
	// Addresses of removed VMs are kept: their records may still have to be read.
	for i := range vms {
		s.addresses[vms[i].Name] = vms[i].AgentAddress
	}
}

// Claim implements the Keeper service.
func (s *Service) Claim(_ context.Context, message *hoistv1.ClaimRequest) (*hoistv1.ClaimResponse, error) {
	request, ok := toClaimRequest(message)
	if !ok {
		return nil, errMalformed
	}
	s.mu.Lock()
	response := s.member.Claim(s.options.Now(), request)
	s.mu.Unlock()
	s.metrics.countClaim(request.Shard.Lease, response.Verdict)
	return fromClaimResponse(response), nil
}

// Finish implements the Keeper service.
func (s *Service) Finish(_ context.Context, message *hoistv1.FinishRequest) (*hoistv1.FinishResponse, error) {
	request, ok := toFinishRequest(message)
	if !ok {
		return nil, errMalformed
	}
	s.mu.Lock()
	s.member.Finish(s.options.Now(), request)
	s.mu.Unlock()
	return &hoistv1.FinishResponse{}, nil
}

// Sync implements the Keeper service.
func (s *Service) Sync(_ context.Context, message *hoistv1.SyncRequest) (*hoistv1.SyncResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fromSyncResponse(s.member.Sync(s.options.Now(), toSyncRequest(message))), nil
}

// Run reads from other members until ctx is cancelled.
func (s *Service) Run(ctx context.Context) {
	defer s.pool.Close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sendDueReads(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) sendDueReads(ctx context.Context) {
	s.mu.Lock()
	due := s.member.Tick(s.options.Now())
	addresses := make(map[string]string, len(due))
	for target := range due {
		addresses[target] = s.addresses[target]
	}
	s.mu.Unlock()
	for target, requests := range due {
		if addresses[target] == "" {
			continue
		}
		for _, request := range requests {
			select {
			case s.readSemaphore <- struct{}{}:
				go s.read(ctx, addresses[target], request)
			default:
				// The member requests the read again after its retry interval.
				s.metrics.deferredReads.Inc()
			}
		}
	}
}

func (s *Service) read(ctx context.Context, address string, request keeper.SyncRequest) {
	defer func() { <-s.readSemaphore }()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var message *hoistv1.SyncResponse
	err := s.pool.Do(address, func(conn *grpc.ClientConn) (err error) {
		message, err = hoistv1.NewKeeperClient(conn).Sync(ctx, fromSyncRequest(request))
		return err
	})
	if err != nil {
		s.metrics.reads.WithLabelValues(readFailed).Inc()
		s.options.Logger.Debug("read from keeper failed", zap.String("address", address), zap.Error(err))
		return
	}
	response, ok := toSyncResponse(message)
	if !ok {
		s.metrics.reads.WithLabelValues(readMalformed).Inc()
		s.options.Logger.Warn("malformed sync response from keeper", zap.String("vm", message.GetFrom()))
		return
	}
	s.metrics.reads.WithLabelValues(readDone).Inc()
	s.mu.Lock()
	s.member.OnSyncResponse(s.options.Now(), response)
	s.mu.Unlock()
}

func (s *Service) stats() keeper.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member.Stats()
}
