package scheduler

import "container/list"

// kept is what one backend is believed to keep: parts, the least recently used first to give way, as backends do.
// Other senders' parts are not known here, so it may keep less than is believed.
type kept struct {
	byChain map[uint64]*list.Element
	order   *list.List // of keptPart, the oldest use first
	tokens  int
	room    int
}

type keptPart struct {
	chain  uint64
	tokens int
}

func newKept(room int) *kept {
	return &kept{byChain: map[uint64]*list.Element{}, order: list.New(), room: room}
}

// use notes that the parts of a prompt were read or used now.
func (k *kept) use(p *Prompt) {
	for _, part := range p.Parts {
		if e := k.byChain[part.Chain]; e != nil {
			k.order.MoveToBack(e)
			continue
		}
		k.byChain[part.Chain] = k.order.PushBack(keptPart{part.Chain, part.Tokens})
		k.tokens += part.Tokens
	}
	for k.tokens > k.room && k.order.Len() > 0 {
		e := k.order.Front()
		old := k.order.Remove(e).(keptPart)
		delete(k.byChain, old.chain)
		k.tokens -= old.tokens
	}
}

// front is how many tokens of the prompt are kept from its beginning on.
func (k *kept) front(p *Prompt) int {
	n := 0
	for _, part := range p.Parts {
		if k.byChain[part.Chain] == nil {
			break
		}
		n += part.Tokens
	}
	return min(n, p.In)
}
