package controller

import (
	"container/heap"
	"fmt"

	"robinpulley.example/robinpulley/internal/catalog"
	"robinpulley.example/robinpulley/internal/lb"
	"robinpulley.example/robinpulley/internal/placement"
)

// startWrite starts the proposed write.
func (c *Controller) startWrite(s *service, next proposal) {
	stamp := placement.WriteStamp{WriteID: c.nextWriteID(), ConfigRevision: next.configRevision}
	document, err := build(s, stamp, next)
	if err != nil {
		c.addProblem(catalog.PlacementKey(s.name), err)
		s.notBefore = c.now + c.settings.MinFailedTime
		c.scheduleAt(s, s.notBefore, next.background)
		return
	}
	s.pending = &pendingWrite{id: stamp.WriteID, placement: document}
	c.outstanding++
	c.deadlines.schedule(s, c.now+c.settings.WriteTimeout)
	c.effects.Writes = append(c.effects.Writes, Write{
		Placement:           document,
		ExpectedModRevision: s.modRevision,
		ExpectedEpoch:       c.epoch.modRevision,
		Kind:                next.kind,
	})
}

// build returns the placement that results from a proposal.
func build(s *service, stamp placement.WriteStamp, next proposal) (*lb.Placement, error) {
	if s.stored == nil {
		return placement.New(s.name, stamp, next.changes...)
	}
	return placement.Next(s.stored, stamp, next.changes...)
}

// nextWriteID returns an ID that no other write of any process has.
func (c *Controller) nextWriteID() string {
	c.writeCount++
	return fmt.Sprintf("%s/%s/%d", c.settings.Self, c.settings.RunID, c.writeCount)
}

// applyWriteResult applies the outcome of a write. After a conflict or an unknown outcome, the
// placement is read back, and its write ID shows whether the write took effect.
func (c *Controller) applyWriteResult(result *WriteResult) {
	s := c.services[result.Service]
	if s == nil || s.pending == nil || s.pending.id != result.WriteID {
		return
	}
	outcome, modRevision := result.Outcome, result.ModRevision
	if c.disabled.noReadBack && outcome == WriteUnknown {
		outcome, modRevision = WriteDone, s.modRevision+1
	}
	switch outcome {
	case WriteDone:
		written := s.pending.placement
		c.finishWrite(s)
		c.adopt(s, written, modRevision)
		c.scheduleNow(s)
	case WriteNotSent:
		c.finishWrite(s)
		c.delayRetry(s)
	default:
		s.pending.lost = true
		c.effects.Reads = append(c.effects.Reads, s.name)
	}
}

// applyReadBack applies the result of reading a placement back. A failed read is repeated after
// ReadRetryDelay.
func (c *Controller) applyReadBack(result *ReadBack) {
	s := c.services[result.Service]
	if s == nil || s.pending == nil {
		return
	}
	if result.Failed {
		c.deadlines.schedule(s, c.now+c.settings.ReadRetryDelay)
		return
	}
	document := result.Document
	document.Key = catalog.PlacementKey(s.name)
	if document.ModRevision == 0 {
		c.applyPlacementLoss(s, s.modRevision+1)
	} else {
		c.applyPlacement(&document)
	}
	if s.pending != nil {
		c.finishWrite(s)
		c.delayRetry(s)
	}
}

// resolvePending ends the pending write if the placement seen in the store shows that it took
// effect.
func (c *Controller) resolvePending(s *service, seen *lb.Placement) {
	if s.pending != nil && seen != nil && seen.WriteID == s.pending.id {
		c.finishWrite(s)
		c.scheduleNow(s)
	}
}

// finishWrite removes the pending write.
func (c *Controller) finishWrite(s *service) {
	s.pending = nil
	c.outstanding--
	c.deadlines.remove(s)
}

// delayRetry schedules the service again after RetryDelay, after a write without effect.
func (c *Controller) delayRetry(s *service) {
	s.notBefore = c.now + c.settings.RetryDelay
	c.scheduleAt(s, s.notBefore, false)
}

// applyStoreUp records that the store is available again. The change of the epoch and the reads of
// lost writes become due at once.
func (c *Controller) applyStoreUp() {
	c.storeUp = true
	c.epoch.retryAt = c.now
	for _, s := range c.deadlines.heap.services {
		if s.pending.lost {
			s.queueEntries[queueDeadline].at = c.now
		}
	}
	heap.Init(&c.deadlines.heap)
}

// expireWrites requests a read of the placement for every write whose deadline has passed.
func (c *Controller) expireWrites() {
	for s := c.deadlines.pop(c.now); s != nil; s = c.deadlines.pop(c.now) {
		s.pending.lost = true
		c.effects.Reads = append(c.effects.Reads, s.name)
		c.deadlines.schedule(s, c.now+c.settings.WriteTimeout)
	}
}
