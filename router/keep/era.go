package keep

import (
	"context"
	"slices"

	"github.com/samber/lo"
)

// receiveEra writes again what this host knows if the store was restored from a copy, which lacks
// the newest records.
func (k *Keeper) receiveEra(era int64) {
	if !k.cfg.Table.SetEra(era, k.cfg.Clock.Boot()) {
		return
	}
	k.mu.Lock()
	again := lo.Map(k.recorded, func(r recordedOrigin, _ int) *entry {
		e := newEntry(r.Origin)
		e.isRepeated = true
		return e
	})
	k.recorded = nil
	k.mu.Unlock()
	k.cfg.Table.Forget()
	k.cfg.Logger.Warn("store was restored from a copy", "reads", "origins", "era", era, "records-again", len(again))
	if len(again) > 0 {
		k.enqueue(again...)
	}
}

// markStart has the store hold the mark of this host's start. In a new era, the mark tells whether
// the copy of the store was made after that start. If this host lacks nothing, the log of origins
// then says so behind what it repeats.
func (k *Keeper) markStart(ctx context.Context, era int64) error {
	if k.markedEra > 0 {
		marks, err := k.cfg.Log.StartMarks(ctx)
		if err != nil {
			return err
		}
		if marks.Era != era {
			return nil
		}
		isMarked := slices.Contains(marks.Starts, k.start)
		if isMarked {
			k.cfg.Table.SetCopiedAfterStart(era)
		}
		isComplete := k.cfg.Table.IsComplete(k.cfg.Clock.Boot())
		k.cfg.Logger.Info("compared the copy of the store with this host's start", "era", era, "copied-after-start", isMarked, "complete", isComplete)
		if isComplete {
			k.enqueue(&entry{done: make(chan struct{}), repeatedIn: era})
		}
	}
	if err := k.cfg.Log.PutStartMark(ctx, k.start); err != nil {
		return err
	}
	k.markedEra = era
	return nil
}

// readEraState reads whether the log has the records of all streams, if another host may know.
func (k *Keeper) readEraState(ctx context.Context) error {
	if !k.cfg.Table.NeedsEraState(k.cfg.Clock.Boot()) {
		return nil
	}
	state, err := k.cfg.Log.EraState(ctx)
	if err != nil {
		return err
	}
	k.cfg.Table.SetEraState(state)
	k.cfg.Logger.Info("read state of origins", "era", state.Read, "of-era", state.Era, "whole", state.IsWhole)
	return nil
}

// putEraState has the store say whether the log has the records of all streams, for hosts that
// start later.
func (k *Keeper) putEraState(ctx context.Context) {
	state, ok := k.cfg.Table.EraState(k.cfg.Clock.Boot())
	if !ok || state == k.eraState || !k.cfg.IsLead() {
		return
	}
	if err := k.cfg.Log.PutEraState(ctx, state); err != nil {
		k.cfg.Logger.Debug("failed to write state of origins", "error", err)
		return
	}
	k.eraState = state
	k.cfg.Logger.Info("wrote state of origins", "era", state.Era, "whole", state.IsWhole)
}
