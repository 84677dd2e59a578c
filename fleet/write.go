package fleet

import (
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// TakeOver raises the term for a new controller, or returns f itself if it made the last term. The new term may go into
// the same write as the controller's first change.
func TakeOver(f *pb.Fleet, controller string) *pb.Fleet {
	d := NewDraft(f)
	d.TakeOver(controller)
	return d.Fleet()
}

// TakeOver is the function TakeOver on a draft.
func (d *Draft) TakeOver(controller string) {
	if d.fleet.Controller == controller && d.fleet.Term > 0 {
		return
	}
	d.fleet.Term++
	d.fleet.Controller = controller
	d.changed = true
}

// NextWrite makes a changed fleet ready for the swap: revision one up, with the write's identity. A controller gives the
// term that it made; an entry host that only registers or leaves gives the term and controller of f. A term other than
// the fleet's is refused, as another controller has taken over.
func NextWrite(f *pb.Fleet, term uint64, controller, writeID string) (*pb.Fleet, error) {
	if err := checkTerm(f, term, controller); err != nil {
		return nil, err
	}
	next := proto.CloneOf(f)
	if next == nil {
		next = &pb.Fleet{}
	}
	return stamp(next, writeID), nil
}

// Write is NextWrite on a draft, which must not be used any more.
func (d *Draft) Write(term uint64, controller, writeID string) (*pb.Fleet, error) {
	if !d.changed {
		return NextWrite(d.base, term, controller, writeID)
	}
	if err := checkTerm(d.fleet, term, controller); err != nil {
		return nil, err
	}
	return stamp(d.fleet, writeID), nil
}

func checkTerm(f *pb.Fleet, term uint64, controller string) error {
	if term == f.GetTerm() && controller == f.GetController() {
		return nil
	}
	return StaleTerm.New("the fleet is at term %d of %s, not %d of %s; read it again and take over first",
		f.GetTerm(), f.GetController(), term, controller)
}

func stamp(f *pb.Fleet, writeID string) *pb.Fleet {
	f.Revision++
	f.WriteId = writeID
	return f
}
