package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/lease"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
)

// Guards against the loss of a lease or of an entry host that is not logged, and
// against logging it again at each tick.
func TestLostLeasesAreLogged(t *testing.T) {
	s := &State{holder: lease.NewHolder("life", "west"), now: 1}
	codes := func() []effect.Code {
		var list []effect.Code
		for _, e := range s.out {
			list = append(list, e.(effect.Log).Code)
		}
		s.out = nil
		return list
	}
	s.holder.SetLeader("leader", 1)
	renew := s.holder.Renew(s.now, 0, false)
	s.holder.HandleGrant(&message.Grant{Term: 1, Seq: renew.Seq, Duration: lease.Duration})
	s.logLeaseChange()
	s.logLeaseChange()
	require.Equal(t, []effect.Code{effect.LeaseRegained}, codes())
	s.leading = &leadership{
		granter: lease.NewGranter(s.now, 1, 0), members: []model.HostID{"a"}, silent: map[model.HostID]bool{},
	}
	s.logSilentHosts()
	require.Empty(t, codes())
	s.now = s.now.Add(2 * lease.Duration)
	s.logLeaseChange()
	s.logSilentHosts()
	s.logLeaseChange()
	s.logSilentHosts()
	require.Equal(t, []effect.Code{effect.LeaseLost, effect.HostSilent}, codes())
}
