package fleetowner

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/upkeep"
)

// proofTime is how long the list of hosts is read often for the sake of a worker that does not answer. Its lease has expired
// by then.
const proofTime = 15 * time.Second

// hostIndex is an index of a list of hosts.
type hostIndex struct {
	// requestedAt is when the list was requested; zero before the first one.
	requestedAt time.Time
	// rows holds the rows of each host, hostOf the hosts of the workers that may be alive by the list.
	rows   map[string][]upkeep.Host
	hostOf map[string]string
}

func newHostIndex(requestedAt time.Time, list []upkeep.Host) hostIndex {
	index := hostIndex{requestedAt: requestedAt, rows: make(map[string][]upkeep.Host, len(list)), hostOf: make(map[string]string, len(list))}
	for _, row := range list {
		index.rows[row.ID] = append(index.rows[row.ID], row)
		if row.Worker != "" && row.State != upkeep.Moving && row.State != upkeep.Upkeep {
			index.hostOf[row.Worker] = row.ID
		}
	}
	return index
}

// provesEnd reports whether the list proves that a worker of the pool has ended: its host is moving, in upkeep, or has another
// worker or pool, and no host has the worker. Nothing outlives the order for a move or an upkeep. Down may mean that the platform
// does not reach the host, and proves nothing. Pages of a list are no snapshot, so a host without rows proves nothing, and one with
// several rows only what all of them do.
func (x *hostIndex) provesEnd(host, pool, worker string) bool {
	if _, listed := x.hostOf[worker]; listed {
		return false
	}
	rows := x.rows[host]
	for _, row := range rows {
		switch row.State {
		case upkeep.Moving, upkeep.Upkeep:
		case upkeep.Up:
			if row.Worker == "" && (row.Pool == pool || row.Pool == "") {
				return false
			}
		case upkeep.Down, upkeep.StateUnknown:
			return false
		}
	}
	return len(rows) > 0
}

// namesSuccessor reports whether the host runs a worker with another id by all of its rows.
func (x *hostIndex) namesSuccessor(host, worker string) bool {
	rows := x.rows[host]
	return len(rows) > 0 && lo.EveryBy(rows, func(row upkeep.Host) bool {
		return row.State == upkeep.Up && row.Worker != "" && row.Worker != worker
	})
}

// incarnations tracks the workers of one pool, to find out which of them have ended. A list of hosts proves the end of an
// incarnation only if it was requested after the pool's owner had named it. It never proves that a worker is alive, as it may be
// old by the time it is read. Only the loop uses it.
type incarnations struct {
	// byWorker is keyed by worker id.
	byWorker map[string]incarnation
}

// incarnation is the latest incarnation of a worker that the pool's owner has named.
type incarnation struct {
	born int64
	// namedAt is when the owner first named the incarnation.
	namedAt time.Time
	// host is empty until the owner or a list names it. listed means that a list did: the owner has the host from the worker's
	// entry in the registry, where another writer may have put another one.
	host   string
	listed bool
	// unreachableSince is when the owner first named the worker as unreachable; zero if it is not.
	unreachableSince time.Time
	// firstProof is when the first of the latest lists that prove the end was requested; zero if the latest one does not.
	firstProof time.Time
	// logged means that the proof of the end has been logged.
	logged bool
}

// observe updates the incarnations from a status of the pool's owner that has just arrived.
func (l *incarnations) observe(now time.Time, workers []*pb.WorkerLoad, index *hostIndex) {
	before := l.byWorker
	l.byWorker = make(map[string]incarnation, len(workers))
	for _, w := range workers {
		if w.GetBorn() == 0 {
			continue
		}
		known := before[w.GetId()]
		if known.born != w.GetBorn() {
			known = incarnation{born: w.GetBorn(), namedAt: now, host: known.host, listed: known.listed}
		}
		if !known.listed {
			known.host = cmp.Or(w.GetUnreachableHost(), known.host)
		}
		known.locate(w.GetId(), index)
		switch {
		case w.GetUnreachableHost() == "":
			known.unreachableSince = time.Time{}
		case known.unreachableSince.IsZero():
			known.unreachableSince = now
		}
		l.byWorker[w.GetId()] = known
	}
}

// locate sets the host from the list if it shows the worker. A worker has one host all its life.
func (i *incarnation) locate(worker string, index *hostIndex) {
	if host, listed := index.hostOf[worker]; listed {
		i.host, i.listed = host, true
	}
}

// proveEnd applies a list and reports whether the end of the incarnation is proved. A list may miss the row of a live worker, so it
// takes two lists if none has shown the worker's host.
func (i *incarnation) proveEnd(pool, worker string, index *hostIndex) bool {
	i.locate(worker, index)
	switch {
	case !i.namedAt.Before(index.requestedAt) || !index.provesEnd(i.host, pool, worker):
		i.firstProof = time.Time{}
		return false
	case i.firstProof.IsZero():
		i.firstProof = index.requestedAt
	}
	return i.listed || i.firstProof.Before(index.requestedAt)
}

// ended returns the incarnations that the lists prove to have ended, ordered by worker.
func (l *incarnations) ended(pool string, index *hostIndex) []*pb.WorkerIncarnation {
	var out []*pb.WorkerIncarnation
	for id, known := range l.byWorker {
		if known.proveEnd(pool, id, index) {
			out = append(out, &pb.WorkerIncarnation{Id: id, Born: known.born, Succeeded: index.namesSuccessor(known.host, id)})
		}
		l.byWorker[id] = known
	}
	slices.SortFunc(out, func(a, b *pb.WorkerIncarnation) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// unlogged returns the workers among ended whose proof has not been logged, and counts it as logged.
func (l *incarnations) unlogged(ended []*pb.WorkerIncarnation) []string {
	var out []string
	for _, e := range ended {
		known := l.byWorker[e.GetId()]
		if !known.logged {
			out = append(out, e.GetId())
		}
		known.logged = true
		l.byWorker[e.GetId()] = known
	}
	return out
}

// needsList reports whether there is an unreachable worker for which the list is read often, and whether it is needed at once: one
// of them is newer than the list, or needs a second one.
func (l *incarnations) needsList(now, requestedAt time.Time) (often, immediately bool) {
	for _, known := range l.byWorker {
		if known.unreachableSince.IsZero() || now.Sub(known.unreachableSince) > proofTime {
			continue
		}
		often = true
		immediately = immediately || !known.unreachableSince.Before(requestedAt) || (!known.listed && known.firstProof.Equal(requestedAt))
	}
	return often, immediately
}

// updateIncarnations passes the incarnations that have ended to the owners of their pools, and requests the list of hosts if it
// may prove the end of a worker that does not answer.
func (t *term) updateIncarnations(ctx context.Context, now time.Time) {
	often, immediately := false, false
	for _, p := range t.pools {
		ended := p.incarnations.ended(p.Name, &t.index)
		p.setEnded(ended)
		t.logEnds(ctx, now, p, ended)
		poolOften, poolImmediately := p.incarnations.needsList(now, t.index.requestedAt)
		often, immediately = often || poolOften, immediately || poolImmediately
	}
	t.listOften.Store(often)
	if immediately {
		t.requestList()
	}
}

// logEnds logs, once for each incarnation, that its end is proved, with the row that proves it.
func (t *term) logEnds(ctx context.Context, now time.Time, p *poller, ended []*pb.WorkerIncarnation) {
	for _, worker := range p.incarnations.unlogged(ended) {
		known := p.incarnations.byWorker[worker]
		row := t.index.rows[known.host][0]
		events.Log(ctx, t.Logger, events.WorkerEndProved, slog.String("worker", worker), slog.Int64("born", known.born),
			slog.String("pool", p.Name), slog.String("host", known.host), slog.Bool("host_listed", known.listed),
			slog.String("state", row.State.String()), slog.String("host_worker", row.Worker), slog.String("host_pool", row.Pool),
			slog.Int64("named_ms_before_list", t.listedAt.Sub(known.namedAt).Milliseconds()),
			slog.Int64("list_age_ms", now.Sub(t.listedAt).Milliseconds()), slog.Uint64("fence", t.fence))
	}
}

// requestList makes the list be read at once, unless it is being read.
func (t *term) requestList() {
	select {
	case t.listNow <- struct{}{}:
	default:
	}
}
