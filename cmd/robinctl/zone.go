package main

import "robinpulley.example/robinpulley/internal/lb"

// zoneCommands are the commands for zones.
type zoneCommands struct {
	Evacuate zoneEvacuate `cmd:"" help:"Stop sending new flows to all back ends of a zone; open flows stay."`
	Restore  zoneRestore  `cmd:"" help:"Send new flows to the back ends of an evacuated zone again."`
}

// zoneEvacuate implements "robinctl zone evacuate".
type zoneEvacuate struct {
	waitFlag
	Zone string `arg:"" help:"Name of the zone."`
}

// Run evacuates a zone: its back ends get no new flows.
func (command *zoneEvacuate) Run(session *session) error {
	change, err := session.operator.Evacuate(session.ctx, lb.Zone(command.Zone))
	return command.finishOne(session, change, err)
}

// zoneRestore implements "robinctl zone restore".
type zoneRestore struct {
	waitFlag
	Zone string `arg:"" help:"Name of the zone."`
}

// Run restores a zone: its back ends get new flows again.
func (command *zoneRestore) Run(session *session) error {
	change, err := session.operator.Restore(session.ctx, lb.Zone(command.Zone))
	return command.finishOne(session, change, err)
}
