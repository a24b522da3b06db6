package codec

import (
	"math"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/consensus"
	"primrosedale.example/primrosedale/core/fleet"
	"primrosedale.example/primrosedale/core/jobs"
	"primrosedale.example/primrosedale/core/message"
	"primrosedale.example/primrosedale/core/model"
	"primrosedale.example/primrosedale/core/rules"
)

func entryAppend(entries ...Entry) *message.Message {
	return &message.Message{Log: &message.Log{Kind: consensus.MsgAppend, Entries: entries}}
}

func cancelEntry(index, term uint64, job model.JobID) Entry {
	return Entry{Index: index, Term: term, Command: &fleet.Command{Jobs: &jobs.Command{Cancel: &jobs.Cancel{Job: job}}}}
}

// Guards against sending the cached bytes of another entry: one with the same index from an
// earlier term or another log, or one that shares the slot.
func TestPackerDistinguishesEntries(t *testing.T) {
	var p Packer
	for _, e := range []Entry{
		cancelEntry(7, 1, "a"), cancelEntry(7, 2, "b"), cancelEntry(7, 2, "c"),
		cancelEntry(7+cachedEntries, 2, "d"), cancelEntry(7, 1, "e"),
		{Index: 7, Term: 3, Kind: consensus.EntryNoop},
		{Index: 7, Term: 4, Kind: consensus.EntryVoters, Voters: []consensus.NodeID{{Host: "a"}}},
		{Index: 7, Term: 4, Kind: consensus.EntryVoters, Voters: []consensus.NodeID{{Host: "b"}}},
	} {
		for range 2 {
			m := entryAppend(e)
			data, err := p.AppendMessage(nil, m)
			require.NoError(t, err)
			got, err := UnpackMessage(data)
			require.NoError(t, err)
			require.Equal(t, m, got)
		}
	}
}

// Guards against packing an entry again for each follower, and against caching entries that
// are too large.
func TestPackerPacksEntriesOnce(t *testing.T) {
	var p Packer
	small, large := cancelEntry(1, 1, "a"), cancelEntry(2, 1, model.JobID(strings.Repeat("x", maxCachedEntryBytes)))
	_, err := p.AppendMessage(nil, entryAppend(small, large))
	require.NoError(t, err)
	cached := p.entries[1].Load()
	require.True(t, cached.matches(&small))
	require.Nil(t, p.entries[2].Load())
	_, err = p.AppendMessage(nil, entryAppend(small))
	require.NoError(t, err)
	require.Same(t, cached, p.entries[1].Load())
}

// Guards against an entry that cannot be encoded and makes later messages fail, or that
// succeeds at the second attempt because of the cache.
func TestPackerCachesNoFailure(t *testing.T) {
	var p Packer
	bad := Entry{Index: 1, Term: 1, Command: &fleet.Command{ApplyRules: &fleet.ApplyRules{
		Rules: &rules.Rules{Teams: map[model.TeamID]rules.Team{"press": {Share: math.NaN()}}},
	}}}
	good := cancelEntry(2, 1, "a")
	for range 2 {
		_, err := p.AppendMessage(nil, entryAppend(bad, good))
		require.ErrorIs(t, err, ErrInvalid)
	}
	_, err := p.AppendMessage(nil, entryAppend(good))
	require.NoError(t, err)
}

// Guards against data races between senders that share cached entries (run with -race).
func TestPackConcurrently(t *testing.T) {
	var p Packer
	m := benchAppend()
	want, err := packMessage(m)
	require.NoError(t, err)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 20 {
				got, err := p.AppendMessage(nil, m)
				require.NoError(t, err)
				require.Equal(t, want, got)
			}
		})
	}
	group.Wait()
}
