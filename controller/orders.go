package controller

import (
	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/waves"
	"github.com/zeebo/errs"
)

// Error classes of orders. Each message names the remedy.
var (
	// UnknownPool means that the configuration has no such pool.
	UnknownPool = errs.Class("unknown pool")
	// InvalidOrder means that an order has no operation id or an unknown kind.
	InvalidOrder = errs.Class("invalid order")
)

func (s *stepper) applyOrders() {
	for _, o := range s.in.Orders {
		err := s.applyOrder(o)
		s.decision.Results = append(s.decision.Results, OrderResult{OperationID: o.OperationID, Err: err})
	}
}

func (s *stepper) applyOrder(o Order) error {
	if o.OperationID == "" {
		return InvalidOrder.New("an order needs an operation id; set a new one, or the same one to repeat an order")
	}
	switch o.Kind {
	case MoveHost:
		return s.moveHost(o)
	case CancelDrain:
		return s.draft.Cancel(o.Host, s.now)
	case HostDown:
		return s.draft.MarkDown(o.Host, o.OperationID, s.now)
	case HostUp:
		return s.draft.MarkUp(o.Host, o.OperationID, s.now)
	default:
		return s.changeWave(o)
	}
}

func (s *stepper) moveHost(o Order) error {
	if !s.hasPool(o.Pool) {
		return UnknownPool.New("%q; name a pool of the configuration", o.Pool)
	}
	if h := s.draft.Host(o.Host); h.GetOperationId() == o.OperationID {
		return nil
	}
	budgets := fleet.NewBudgets(s.draft.Fleet(), s.in.Config, s.in.Failed)
	if err := budgets.MayMove(o.Host); err != nil {
		return err
	}
	return s.draft.BeginMove(o.Host, o.Pool, o.OperationID, s.now)
}

func (s *stepper) changeWave(o Order) error {
	f := s.draft.Fleet()
	var err error
	switch o.Kind {
	case StartWave:
		f, err = waves.Create(f, o.Wave, s.waveHosts(o), o.OperationID, s.now)
	case StopWave:
		f, err = waves.Stop(f, o.Wave, "stopped by an operator; resume or cancel it")
	case ResumeWave:
		f, err = waves.Resume(f, o.Wave)
	case CancelWave:
		f, err = waves.Cancel(f, o.Wave, "cancelled by an operator", s.now)
	default:
		err = InvalidOrder.New("unknown kind %d; use one that this version supports", o.Kind)
	}
	if err != nil {
		return err
	}
	s.draft.Replace(f)
	return nil
}

func (s *stepper) waveHosts(o Order) []string {
	if len(o.Hosts) > 0 {
		return o.Hosts
	}
	var hosts []string
	for _, h := range s.draft.Fleet().Hosts {
		leaving := h.Purpose == pb.HostPurpose_HOST_PURPOSE_LEAVE
		if !leaving && (o.Pool == "" || h.Pool == o.Pool) {
			hosts = append(hosts, h.Host)
		}
	}
	return hosts
}

func (s *stepper) hasPool(name string) bool {
	for _, p := range s.in.Config.GetPools() {
		if p.Name == name {
			return true
		}
	}
	return false
}
