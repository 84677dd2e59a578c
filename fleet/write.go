package fleet

import (
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// TakeOver increments the term for a new controller, or returns f itself if the controller holds the current term. The
// new term may go into the same write as the controller's first change.
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

// NextWrite prepares a changed fleet for the compare-and-swap: it increments the revision and sets the id of the write.
// A controller passes its own term; an entry host that only registers or leaves passes the term and controller of f. If
// the term or controller differs from the fleet's, another controller has taken over and the error is StaleTerm.
func NextWrite(f *pb.Fleet, term uint64, controller, writeID string) (*pb.Fleet, error) {
	if err := checkTerm(f, term, controller); err != nil {
		return nil, err
	}
	next := proto.CloneOf(f)
	if next == nil {
		next = &pb.Fleet{}
	}
	return setWrite(next, writeID), nil
}

// Write is NextWrite on a draft. The draft must not be used afterwards.
func (d *Draft) Write(term uint64, controller, writeID string) (*pb.Fleet, error) {
	if !d.changed {
		return NextWrite(d.base, term, controller, writeID)
	}
	if err := checkTerm(d.fleet, term, controller); err != nil {
		return nil, err
	}
	return setWrite(d.fleet, writeID), nil
}

func checkTerm(f *pb.Fleet, term uint64, controller string) error {
	if term == f.GetTerm() && controller == f.GetController() {
		return nil
	}
	return StaleTerm.New("the fleet is at term %d of %s, not %d of %s; read it again and take over first",
		f.GetTerm(), f.GetController(), term, controller)
}

func setWrite(f *pb.Fleet, writeID string) *pb.Fleet {
	f.Revision++
	f.WriteId = writeID
	return f
}
