package control

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/gossip"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// Message is a message between agents: Probe and Exchange are requests, Ack and
// ExchangeReply are their responses.
type Message interface{ message() }

// Gossip is the information that every message carries in addition to membership updates.
type Gossip struct {
	Advertisements []configuration.Advertisement
	Suspects       []gossip.Suspect
	Warmth         []gossip.Warmth
}

// Probe is a membership probe with gossip.
type Probe struct {
	membership.Probe
	// Address is the IP:port of the sender's agent.
	Address string
	Gossip  Gossip
}

// Ack is the response to a Probe.
type Ack struct {
	membership.Ack
	Gossip Gossip
}

// Exchange sends gossip independently of probes and requests that of the receiver.
type Exchange struct {
	From    string
	To      string
	Address string
	Gossip  Gossip
}

// ExchangeReply is the response to an Exchange.
type ExchangeReply struct {
	From   string
	To     string
	Gossip Gossip
}

func (Probe) message()         {}
func (Ack) message()           {}
func (Exchange) message()      {}
func (ExchangeReply) message() {}
