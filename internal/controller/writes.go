package controller

import (
	"container/heap"
	"fmt"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// write starts the proposed write.
func (c *Controller) write(s *service, next proposal) {
	stamp := placement.Stamp{WriteID: c.nextWriteID(), ConfigRevision: next.configRevision}
	document, err := build(s, stamp, next)
	if err != nil {
		c.problem(catalog.PlacementKey(s.name), err)
		s.holdUntil = c.now + c.settings.FailedHold
		c.touch(s, s.holdUntil, next.background)
		return
	}
	s.pending = &pendingWrite{id: stamp.WriteID, placement: document}
	c.outstanding++
	c.deadlines.put(s, c.now+c.settings.WriteTimeout)
	c.effects.Writes = append(c.effects.Writes, Write{
		Placement:           document,
		ExpectedModRevision: s.modRevision,
		ExpectedEpoch:       c.epoch.revision,
		Kind:                next.kind,
	})
}

// build makes the document of a proposal.
func build(s *service, stamp placement.Stamp, next proposal) (*lb.Placement, error) {
	if s.stored == nil {
		return placement.New(s.name, stamp, next.changes...)
	}
	return placement.Next(s.stored, stamp, next.changes...)
}

// nextWriteID gives an id that no other write of any process has.
func (c *Controller) nextWriteID() string {
	c.writes++
	return fmt.Sprintf("%s/%s/%d", c.settings.Self, c.settings.Run, c.writes)
}

// takeResult takes in the outcome of a write. Where it is not known, the
// placement is read back: its write id tells.
func (c *Controller) takeResult(result *WriteResult) {
	s := c.services[result.Service]
	if s == nil || s.pending == nil || s.pending.id != result.WriteID {
		return
	}
	outcome, modRevision := result.Outcome, result.ModRevision
	if c.off.noReadBack && outcome == WriteUnknown {
		outcome, modRevision = WriteDone, s.modRevision+1
	}
	switch outcome {
	case WriteDone:
		written := s.pending.placement
		c.finish(s)
		c.adopt(s, written, modRevision)
		c.reconsider(s)
	case WriteNotRun:
		c.finish(s)
		c.hold(s)
	default:
		s.pending.lost = true
		c.effects.Reads = append(c.effects.Reads, s.name)
	}
}

// takeReadBack takes in a placement read back. A read that failed is repeated
// after ReadRetry.
func (c *Controller) takeReadBack(answer *ReadBack) {
	s := c.services[answer.Service]
	if s == nil || s.pending == nil {
		return
	}
	if answer.Failed {
		c.deadlines.put(s, c.now+c.settings.ReadRetry)
		return
	}
	document := answer.Document
	document.Key = catalog.PlacementKey(s.name)
	if document.ModRevision == 0 {
		c.takeLoss(s, s.modRevision+1)
	} else {
		c.takePlacement(&document)
	}
	if s.pending != nil {
		c.finish(s)
		c.hold(s)
	}
}

// resolve ends the wait for a result when the placement seen shows that the
// pending write took effect.
func (c *Controller) resolve(s *service, seen *lb.Placement) {
	if s.pending != nil && seen != nil && seen.WriteID == s.pending.id {
		c.finish(s)
		c.reconsider(s)
	}
}

// finish ends the pending write.
func (c *Controller) finish(s *service) {
	s.pending = nil
	c.outstanding--
	c.deadlines.remove(s)
}

// hold reconsiders the service after a write without effect.
func (c *Controller) hold(s *service) {
	s.holdUntil = c.now + c.settings.RetryDelay
	c.touch(s, s.holdUntil, false)
}

// storeReturned asks at once for everything that the store's absence has kept
// unknown.
func (c *Controller) storeReturned() {
	c.storeUp = true
	c.epoch.retryAt = c.now
	for _, s := range c.deadlines.entries.services {
		if s.pending.lost {
			s.places[slotDeadline].at = c.now
		}
	}
	heap.Init(&c.deadlines.entries)
}

// expireWrites reads back what has had no result for too long.
func (c *Controller) expireWrites() {
	for s := c.deadlines.pop(c.now); s != nil; s = c.deadlines.pop(c.now) {
		s.pending.lost = true
		c.effects.Reads = append(c.effects.Reads, s.name)
		c.deadlines.put(s, c.now+c.settings.WriteTimeout)
	}
}
