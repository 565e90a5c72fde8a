package configsync

import (
	"github.com/pkg/errors"

	"github.com/carawayrack/carawayrack/api"
	"github.com/carawayrack/carawayrack/config"
)

// DigestMismatch is the error of an update after which the configuration does not
// have the digest that the update states.
type DigestMismatch struct {
	Sequence uint64
}

func (e DigestMismatch) Error() string { return "digest of the configuration does not match" }

// apply returns the state after an update. It returns s itself if the update is not
// newer or does not start at the sequence of s. The errors are DigestMismatch and
// those of decoding.
func apply(s *config.State, u api.Update) (*config.State, error) {
	if u.Sequence < s.Sequence || (len(u.Changes) > 0 && u.From != s.Sequence) {
		return s, nil
	}
	n := s
	if len(u.State) > 0 {
		d, err := config.DecodeState(u.State)
		if err != nil {
			return s, err
		}
		n = d
	}
	for _, b := range u.Changes {
		c, err := config.DecodeChange(b)
		if err != nil {
			return s, errors.Wrap(err, "configsync.apply")
		}
		n, _ = n.Apply(c, b)
	}
	if n.Sequence == u.Sequence && n.Digest != u.Digest {
		return s, DigestMismatch{u.Sequence}
	}
	return n, nil
}
