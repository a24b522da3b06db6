package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosedale.example/primrosedale/core/model"
)

// Guards against stored answers that exceed the memory of a small host and the
// size limit of a snapshot, and against a resent request that runs again because
// its answer was evicted.
func TestStoredAnswersAreBounded(t *testing.T) {
	f := newFixture(t)
	const claims = MaxTotalAnswerBytes/MaxAnswerBytes + 10
	id := func(i int) ClaimID { return ClaimID{Team: "press", Key: model.Digest(fmt.Sprint(i))} }
	body := make([]byte, MaxAnswerBytes)
	for i := range claims {
		request := model.RequestID(fmt.Sprint("r", i))
		f.apply("", Command{Claim: &Claim{ClaimID: id(i), Request: request}})
		f.apply("", Command{Complete: &Complete{ClaimID: id(i), Request: request, Status: 200, Answer: &model.Answer{Body: body}}})
	}
	require.LessOrEqual(t, f.index.answerBytes, MaxTotalAnswerBytes)
	require.Nil(t, f.Claims[id(0)].Answer)
	require.Equal(t, ClaimComplete, f.Claims[id(0)].State)
	require.NotNil(t, f.Claims[id(claims-1)].Answer)
	result := f.apply("", Command{Claim: &Claim{ClaimID: id(0), Request: "again"}})
	require.False(t, result.Granted)
}
