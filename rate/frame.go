package rate

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Frame returns the message as it goes over the wire.
func (a Acquire) Frame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Acquire{Acquire: &wire.Acquire{
		Id:       uint64(a.ID),
		Slot:     uint32(a.Slot),
		Epoch:    int64(a.Epoch),
		Customer: string(a.Customer),
		Tokens:   int64(a.Tokens),
	}}}
}

// AcquireFromWire returns the message of a frame.
func AcquireFromWire(a *wire.Acquire) Acquire {
	return Acquire{
		ID:       GrantID(a.Id),
		Slot:     slotOf(a.Slot),
		Epoch:    units.Epoch(a.Epoch),
		Customer: units.CustomerID(a.Customer),
		Tokens:   units.Tokens(a.Tokens),
	}
}

// slotOf returns a slot that no table has when the number is too large.
func slotOf(n uint32) Slot { return Slot(min(n, SlotCount)) }

// Frame returns the message as it goes over the wire.
func (g Grant) Frame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Grant{Grant: &wire.Grant{
		Id:     uint64(g.ID),
		Tokens: int64(g.Tokens),
		Wait:   int64(g.Wait),
		Level:  int64(g.Level),
		Code:   string(g.Code),
	}}}
}

// GrantFromWire returns the message of a frame.
func GrantFromWire(g *wire.Grant) Grant {
	return Grant{
		ID:     GrantID(g.Id),
		Tokens: units.Tokens(g.Tokens),
		Wait:   clock.Span(g.Wait),
		Level:  units.Tokens(g.Level),
		Code:   units.Code(g.Code),
	}
}

// Frame returns the message as it goes over the wire.
func (s Settle) Frame() *wire.Frame {
	m := &wire.Settle{Settled: make([]*wire.Settled, 0, len(s.Reports))}
	for _, r := range s.Reports {
		m.Settled = append(m.Settled, &wire.Settled{
			Grant:    uint64(r.Grant),
			Start:    int64(r.Started),
			Returned: int64(r.Returned),
			Unused:   int64(r.Unused),
			Final:    r.Final,
		})
	}
	return &wire.Frame{Body: &wire.Frame_Settle{Settle: m}}
}

// SettleFromWire returns the message of a frame.
func SettleFromWire(s *wire.Settle) Settle {
	out := Settle{Reports: make([]GrantReport, 0, len(s.Settled))}
	for _, r := range s.Settled {
		out.Reports = append(out.Reports, GrantReport{
			Grant:    GrantID(r.Grant),
			Started:  units.Tokens(r.Start),
			Returned: units.Tokens(r.Returned),
			Unused:   units.Tokens(r.Unused),
			Final:    r.Final,
		})
	}
	return out
}

// Frame returns the message as it goes over the wire.
func (l BucketTransfer) Frame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Level{Level: &wire.Level{
		Slot:     uint32(l.Slot),
		Epoch:    int64(l.Epoch),
		Customer: string(l.Customer),
		Level:    int64(l.Level),
		Held:     int64(l.Reserved),
	}}}
}

// BucketTransferFromWire returns the message of a frame.
func BucketTransferFromWire(l *wire.Level) BucketTransfer {
	return BucketTransfer{
		Slot:     slotOf(l.Slot),
		Epoch:    units.Epoch(l.Epoch),
		Customer: units.CustomerID(l.Customer),
		Level:    units.Tokens(l.Level),
		Reserved: units.Tokens(l.Held),
	}
}

// Wire returns the permit as part of a Call.
func (p Permit) Wire() *wire.Permit {
	m := &wire.Permit{Expires: int64(p.Expires), Paid: make([]*wire.Paid, 0, len(p.Parts))}
	for _, g := range p.Parts {
		m.Paid = append(m.Paid, &wire.Paid{Slot: uint32(g.Slot), Epoch: int64(g.Epoch), Grant: uint64(g.Grant), Tokens: int64(g.Tokens)})
	}
	return m
}

// PermitFromWire returns the permit of a Call; nil gives one that no fence accepts.
func PermitFromWire(p *wire.Permit) Permit {
	if p == nil {
		return Permit{}
	}
	out := Permit{Expires: clock.Time(p.Expires), Parts: make([]GrantPart, 0, len(p.Paid))}
	for _, g := range p.Paid {
		out.Parts = append(out.Parts, GrantPart{Slot: slotOf(g.Slot), Epoch: units.Epoch(g.Epoch), Grant: GrantID(g.Grant), Tokens: units.Tokens(g.Tokens)})
	}
	return out
}

// Frame returns the table as it goes over the wire.
func (t *SlotTable) Frame() *wire.Frame {
	m := &wire.Owners{Version: t.Version, Slot: make([]*wire.Slot, 0, SlotCount)}
	for s, r := range t.Rows {
		m.Slot = append(m.Slot, &wire.Slot{Slot: uint32(s), Owner: string(r.Owner), Epoch: int64(r.Epoch)})
	}
	return &wire.Frame{Body: &wire.Frame_Owners{Owners: m}}
}

// TableFromWire returns the table of a frame.
func TableFromWire(o *wire.Owners) *SlotTable {
	t := &SlotTable{Version: o.Version}
	for _, r := range o.Slot {
		if r.Slot < SlotCount {
			t.Rows[r.Slot] = Row{Owner: units.VMID(r.Owner), Epoch: units.Epoch(r.Epoch)}
		}
	}
	return t
}
