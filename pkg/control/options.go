package control

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// exchangeInterval is the interval between exchanges with a member in the nearby
	// zones, which carry warmth. Probes alone reach those zones too rarely in a large
	// fleet.
	exchangeInterval = time.Second
	// startupQueryInterval is the interval between two rounds of startup queries, which a
	// process sends to peers until the bootstrap of the configuration is done.
	startupQueryInterval = 500 * time.Millisecond
	// startupQueryFanout is the number of peers queried in one round.
	startupQueryFanout = 3
	// maxTransit is the maximum transit time of a request. Callers cancel a request after
	// this time.
	maxTransit = 2 * time.Second
	// otherNearbyZoneCount is the number of nearby zones other than the VM's own.
	otherNearbyZoneCount = 2
	// maxAdvertisements is the maximum number of advertisements accepted in one message.
	maxAdvertisements = len(configuration.Names)
)

// Options configures a Core.
type Options struct {
	// Self is the name of this VM.
	Self string
	// Zone is the availability zone of this VM.
	Zone string
	// Address is the IP:port of this agent. It is sent to peers, since they may not know
	// it yet.
	Address string
	// Incarnation identifies this process start.
	Incarnation membership.Incarnation
	// Seed makes random choices reproducible.
	Seed uint64
	// Membership and Configuration contain the timings. Their other fields are overwritten
	// with the values of this struct.
	Membership    membership.Options
	Configuration configuration.Options
	// Validation checks values. A nil function selects the decoder of pkg/table.
	Validation configuration.Validation
	// DecodeList decodes a VM list; nil selects the decoder of pkg/table.
	DecodeList func(data []byte) ([]table.VM, error)
}

func (o Options) withDefaults() Options {
	if o.DecodeList == nil {
		o.DecodeList = func(data []byte) ([]table.VM, error) {
			list, err := table.DecodeVMList(data)
			if err != nil {
				return nil, err
			}
			return list.VMs, nil
		}
	}
	if o.Validation.VMList == nil {
		o.Validation.VMList = func(data []byte) error {
			_, err := o.DecodeList(data)
			return err
		}
	}
	if o.Validation.Tables == nil {
		o.Validation.Tables = func(routes, pools []byte) error {
			_, err := table.Load("routes", routes, "pools", pools)
			return err
		}
	}
	o.Membership.Self = o.Self
	o.Membership.Incarnation = o.Incarnation
	o.Membership.Seed = o.Seed
	o.Configuration.Self = o.Self
	o.Configuration.Zone = o.Zone
	o.Configuration.Seed = o.Seed
	o.Configuration.Validation = o.Validation
	return o
}
