package poison

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// incident is the crash of one upstream while it was to begin the answers of some requests.
type incident struct {
	upstream string
	at       clock.Instant
	// prompts holds for each of these requests the parts of its prompt that were not answered since.
	prompts [][]Part
}

// add adds the prompt of a request unless the incident has the greatest number of them.
func (in *incident) add(prompt []Part, maxPrompts int) {
	isKnown := slices.ContainsFunc(in.prompts, func(other []Part) bool { return slices.Equal(other, prompt) })
	if !isKnown && len(in.prompts) < maxPrompts {
		in.prompts = append(in.prompts, slices.Clone(prompt))
	}
}

// remove removes a part from all prompts and reports whether it was there.
func (in *incident) remove(part Part) bool {
	found := false
	for i, prompt := range in.prompts {
		if slices.Contains(prompt, part) {
			found = true
			in.prompts[i] = slices.DeleteFunc(prompt, func(other Part) bool { return other == part })
		}
	}
	return found
}

// isSuspicious reports whether some parts are still under suspicion.
func (in *incident) isSuspicious() bool {
	return slices.ContainsFunc(in.prompts, func(prompt []Part) bool { return len(prompt) > 0 })
}

// parts returns the parts of all prompts.
func (in *incident) parts() []Part {
	all := slices.Concat(in.prompts...)
	slices.Sort(all)
	return slices.Compact(all)
}

// matches reports whether one of the prompts has all parts of a block.
func (in *incident) matches(b *Block) bool { return slices.ContainsFunc(in.prompts, b.matches) }
