package peers

import (
	"molepaddle/internal/decide/members"
	"molepaddle/internal/protocol/linkwire"
)

// Frame converts a message to the frame that carries it.
func Frame(m *members.Message) (*linkwire.News, error) {
	f := &linkwire.News{
		Digest: m.Digest,
		Stamp:  m.Stamp,
		Echo:   m.Echo,
		Sums:   m.Sums,
		Mask:   uint64(m.Mask),
		Want:   m.Want,
	}
	for _, h := range m.KeyVersions {
		f.Heads = append(f.Heads, linkwire.Head{Key: h.Key, Version: h.Version})
	}
	for i := range m.Records {
		r := &m.Records[i]
		e := linkwire.Entry{
			Name:        r.ID.Name,
			Incarnation: r.ID.Incarnation,
			Subject:     uint64(r.Kind),
			Version:     r.Version,
			Body:        []byte(r.Raw),
		}
		if r.Raw == "" && r.Kind != members.Orders {
			var err error
			if r.Kind == members.Self {
				s := linkwire.Self(r.Info)
				e.Body, err = linkwire.EncodeSelf(&s)
			} else {
				words := make([]linkwire.Head, len(r.Suspicions))
				for k, w := range r.Suspicions {
					words[k] = linkwire.Head{Key: w.Target, Version: w.Version}
				}
				e.Body, err = linkwire.EncodeSuspicions(words)
			}
			if err != nil {
				return nil, err
			}
		}
		f.Records = append(f.Records, e)
	}
	return f, nil
}

// Message converts a frame to a message. It returns an error if a record's body is invalid.
func Message(f *linkwire.News) (members.Message, error) {
	m := members.Message{
		Digest: f.Digest,
		Stamp:  f.Stamp,
		Echo:   f.Echo,
		Sums:   f.Sums,
		Mask:   uint32(f.Mask),
		Want:   f.Want,
	}
	for _, h := range f.Heads {
		m.KeyVersions = append(m.KeyVersions, members.KeyVersion{Key: h.Key, Version: h.Version})
	}
	for i := range f.Records {
		e := &f.Records[i]
		r := members.Record{
			ID:      members.ID{Name: e.Name, Incarnation: e.Incarnation},
			Kind:    members.Kind(e.Subject),
			Version: e.Version,
			Raw:     string(e.Body),
		}
		switch r.Kind {
		case members.Self:
			s, err := linkwire.DecodeSelf(e.Body)
			if err != nil {
				return m, err
			}
			r.Info = members.Info(s)
		case members.Suspects:
			words, err := linkwire.DecodeSuspicions(e.Body)
			if err != nil {
				return m, err
			}
			for _, w := range words {
				r.Suspicions = append(r.Suspicions, members.Suspicion{Target: w.Key, Version: w.Version})
			}
		}
		m.Records = append(m.Records, r)
	}
	return m, nil
}
