package relay

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/call"
	"primrosedale.example/primrosedale/core/effect"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/problem"
)

// Guards against decisions that change although the feature is disabled: the digest is
// that of the effects of the same events on commit fa44f8e, before there was the feature.
func TestDisabledDecidesAsBefore(t *testing.T) {
	const before = "d939cfc6bb3b1da97eb2fd9d3de98c8428605fe40b248354fa993cf662f2d87d"
	rng := rand.New(rand.NewPCG(1, 2))
	hosts := []model.HostID{"a", "b", "c", ""}
	anyHost := func() model.HostID { return hosts[rng.IntN(len(hosts))] }
	digest := sha256.New()
	for _, replica := range []bool{false, true} {
		table := New(Config{Host: "e", Incarnation: "i", Replica: replica, Seeds: []model.HostID{"a", "b"}})
		now := start
		for seq := range uint64(20_000) {
			now = now.Add(model.Duration(rng.IntN(60)) * model.Millisecond)
			answered := seq - min(seq, uint64(rng.IntN(30)))
			var effects []effect.Effect
			switch kind := rng.IntN(12); kind {
			case 0, 1, 2:
				c := submit(seq)
				if kind == 1 {
					c.Submit, c.Cancel = nil, &call.Address{Host: "h"}
				}
				effects = table.Accept(now, c, rng.IntN(4) == 0)
			case 3:
				a := &call.Answer{Seq: answered, Incarnation: "i"}
				if rng.IntN(3) == 0 {
					a.Problem, a.SupersededBy = problem.New(problem.CallSuperseded, ""), 7
				}
				effects = table.HandleAnswer(now, a)
			case 4:
				from, redirect := anyHost(), &call.Redirect{Seq: answered, Incarnation: "i", Leader: anyHost()}
				if replica && from != "" && from == table.leader {
					break // without effect on that commit, see TestCallsReturnedByANewLeaderAreSentAgain
				}
				effects = table.HandleRedirect(now, from, redirect)
			case 5, 6:
				effects = table.HandleContactReply(now, "a", &call.ContactReply{Seq: answered, Leads: rng.IntN(2) == 0, Leader: anyHost()})
			case 7:
				if replica {
					effects = table.SetLeader(now, anyHost())
				}
			case 8:
				table.Abandon(answered)
			default:
				effects = table.Advance(now)
			}
			data, err := json.Marshal(effects)
			require.NoError(t, err)
			digest.Write(data)
		}
	}
	require.Equal(t, before, hex.EncodeToString(digest.Sum(nil)))
}
