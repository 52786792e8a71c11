package table

const expectedVMList = "a list of VMs"

// vmListDecoder decodes one VM list.
type vmListDecoder struct {
	*decoder
	vmList    VMList
	names     *namespace
	addresses *namespace
}

func newVMListDecoder(d *decoder) *vmListDecoder {
	return &vmListDecoder{
		decoder:   d,
		names:     newNamespace("VM name", "a name that is unique in the list"),
		addresses: newNamespace("address", "an address that is unique over all VMs"),
	}
}

func (d *vmListDecoder) decode(data []byte) {
	root, ok := d.parse(data)
	if !ok {
		return
	}
	d.mapping(root, "a mapping with vms",
		field{"vms", expectedVMList, func(e element) {
			d.decoder.list(e, expectedVMList, func(_ int, e element) {
				d.vmList.VMs = append(d.vmList.VMs, d.vm(e))
			})
		}},
	)
}

func (d *vmListDecoder) vm(e element) VM {
	var vm VM
	states := []VMState{VMLive, VMLeaving}
	address := func(dst *string) func(element) {
		return func(e element) {
			resolved, canonical := d.address(e, dst)
			d.addresses.define(d.decoder, resolved, canonical)
		}
	}
	d.mapping(e, "a mapping that describes a VM",
		field{"name", expectedName, func(e element) { d.defineName(e, &vm.Name, d.names) }},
		field{"zone", expectedName, func(e element) { d.name(e, &vm.Zone) }},
		field{"agent_address", expectedAddress, address(&vm.AgentAddress)},
		field{"gateway_address", expectedAddress, address(&vm.GatewayAddress)},
		field{"state", expectedOneOf(states...), func(e element) { oneOf(d.decoder, e, &vm.State, states...) }},
	)
	return vm
}
