package main

import "robinpulley.example/robinpulley/internal/lb"

type zoneCommands struct {
	Evacuate zoneEvacuate `cmd:"" help:"Take new flows away from all back ends of a zone; open flows stay."`
	Restore  zoneRestore  `cmd:"" help:"Let the back ends of an evacuated zone take new flows again."`
}

type zoneEvacuate struct {
	waiting
	Zone string `arg:"" help:"Name of the zone."`
}

// Run evacuates a zone.
func (command *zoneEvacuate) Run(session *session) error {
	change, err := session.operator.Evacuate(session.ctx, lb.Zone(command.Zone))
	return command.done(session, change, err)
}

type zoneRestore struct {
	waiting
	Zone string `arg:"" help:"Name of the zone."`
}

// Run restores a zone.
func (command *zoneRestore) Run(session *session) error {
	change, err := session.operator.Restore(session.ctx, lb.Zone(command.Zone))
	return command.done(session, change, err)
}
