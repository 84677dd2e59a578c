package jobfront

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/queue"
)

// owners maps each pool to its owner's jobs. The owner of a pool without an entry cannot be reached.
type owners map[string][]*pb.JobDescription

func (o owners) DescribeJobs(_ context.Context, req *pb.DescribeJobsRequest) ([]*pb.JobDescription, error) {
	jobs, ok := o[req.GetPool()]
	if !ok {
		return nil, errDown
	}
	var out []*pb.JobDescription
	for _, j := range jobs {
		if len(req.GetIds()) == 0 || req.GetIds()[0] == j.GetId() {
			out = append(out, j)
		}
	}
	return out, nil
}

func operations(b *fakeBackend, o owners) *Operations {
	b.table.Pools = []queue.Pool{{Name: "p"}, {Name: "r"}, {Name: "idle", Spare: true}}
	return NewOperations(b.front(), o)
}

func job(pool, id string, state pb.JobState) *pb.JobDescription {
	return &pb.JobDescription{Id: id, Pool: pool, State: state}
}

func TestJobsOfAllPools(t *testing.T) {
	o := operations(newFakeBackend(), owners{"p": {job("p", "0001", running), job("p", "0002", queued), job("p", "0003", running)}})
	list, err := o.Jobs(t.Context(), operatorapi.JobFilter{State: "running", Limit: 1})
	assert.NilError(t, err)
	assert.Equal(t, len(list.Jobs), 1)
	assert.Equal(t, list.Jobs[0].ID, "0001")
	assert.DeepEqual(t, list.Missing, []string{"r"})
	_, err = o.Jobs(t.Context(), operatorapi.JobFilter{Pool: "idle"})
	assert.Assert(t, operatorapi.NotFound.Has(err), "%v", err)
}

func TestJobByID(t *testing.T) {
	b := newFakeBackend()
	b.stored["0002"] = completed
	o := operations(b, owners{"r": {job("r", "0001", running)}})
	found, err := o.Job(t.Context(), "0001")
	assert.NilError(t, err)
	assert.Equal(t, found.State, "running")
	found, err = o.Job(t.Context(), "0002")
	assert.NilError(t, err)
	assert.Assert(t, found.StateOnly && found.State == "completed")
	_, err = o.Job(t.Context(), "0003")
	assert.Assert(t, operatorapi.NotFound.Has(err), "%v", err)
	_, err = o.Job(t.Context(), "x")
	assert.Assert(t, operatorapi.NotFound.Has(err), "%v", err)
	b.storeErr = errDown
	_, err = o.Job(t.Context(), "0003")
	assert.Assert(t, operatorapi.Unavailable.Has(err), "%v", err)
}

func TestCancelByOperator(t *testing.T) {
	cases := []struct {
		name string
		err  error
		is   func(error) bool
	}{
		{name: "stored", is: func(err error) bool { return err == nil }},
		{name: "not stored", err: errNotAccepted, is: operatorapi.Unavailable.Has},
		{name: "undecided", err: errUndecided, is: operatorapi.Unknown.Has},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFakeBackend()
			b.stored["0001"] = running
			b.storeErr = c.err
			_, err := operations(b, owners{"p": {job("p", "0001", running)}, "r": nil}).CancelJob(t.Context(), "0001")
			assert.Assert(t, c.is(err), "%v", err)
		})
	}
}

// TestOperatorsNeedTheToken covers a host without a token as well, where every credential is rejected.
func TestOperatorsNeedTheToken(t *testing.T) {
	for _, token := range []string{"", "secret"} {
		b := newFakeBackend()
		o := operations(b, owners{"p": nil, "r": nil})
		api := operatorapi.NewJobs(o, operatorapi.Options{
			Token: token, Logger: slog.New(slog.DiscardHandler), Metrics: o.front.MetricsHandler(),
		})
		get := func(path, credential string) *httptest.ResponseRecorder {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
			r.Header.Set("Authorization", "Bearer "+credential)
			got := httptest.NewRecorder()
			api.ServeHTTP(got, r)
			return got
		}
		assert.Equal(t, get("/v1/jobs", "").Code, http.StatusUnauthorized)
		assert.Equal(t, get("/v1/jobs", "secret").Code == http.StatusOK, token != "")
		assert.Equal(t, get("/readyz", "").Code, http.StatusOK)
		assert.Assert(t, strings.Contains(get("/metrics", "").Body.String(), metricTableVersion+" 1"))
		b.stale = true
		assert.Equal(t, get("/readyz", "").Code, http.StatusServiceUnavailable)
	}
}
