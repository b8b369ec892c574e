package org.hickorypier.core.permits;

import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.core.fold.Verdict;
import org.hickorypier.wire.record.PermitRecord;
import org.hickorypier.wire.record.PermitRecord.Adopt;
import org.hickorypier.wire.record.PermitRecord.AdoptedTasks;
import org.hickorypier.wire.record.PermitRecord.Fence;
import org.hickorypier.wire.record.PermitRecord.Hold;
import org.hickorypier.wire.record.PermitRecord.Limit;
import org.hickorypier.wire.record.PermitRecord.Retire;
import org.hickorypier.wire.record.PermitRecord.Snapshot;

/**
 * Folds the permits stream.
 *
 * <p>A pure function, so thread safe: the same records at the same offsets give the same state
 * everywhere. Invariant: a record that raises the sum of a team's holds leaves it at or below the
 * team's limit.
 *
 * <p>Load: instances that all ask at once when a peak begins, while others die or an operator
 * lowers the limit. Harm prevented: two instances that both believe to hold the last permit. The
 * order of the log decides; whoever comes later gets what is left.
 *
 * <p>The limit that the fold uses comes from this stream and not from the configuration stream.
 * There is no order between two streams: instances would apply a lowered limit before different
 * holds and would no longer agree on who holds what.
 */
public final class PermitFold {

  private PermitFold() {}

  /**
   * Folds one record.
   *
   * @param state the state before
   * @param offset the record's offset
   * @param change the record
   * @return the state after; for a snapshot taken into use, its offset is that of the snapshot's
   *     contents, and folding goes on at the offset after that
   */
  public static FoldResult<PermitState> apply(PermitState state, long offset, PermitRecord change) {
    if (offset <= state.offset()) {
      return result(state, Verdict.DUPLICATE, "the offset was folded before");
    }
    if (change instanceof Snapshot snapshot
        && snapshot.upTo() > state.offset()
        && snapshot.upTo() < offset) {
      return applySnapshot(state, snapshot);
    }
    if (offset > state.offset() + 1) {
      return result(state, Verdict.GAP, "records before it are missing");
    }
    PermitState next = state.withOffset(offset);
    if (change instanceof Limit limit) {
      return applyLimit(next, limit);
    }
    if (change instanceof Hold hold) {
      return applyHold(next, hold);
    }
    if (change instanceof Adopt adoption) {
      return applyAdoption(next, adoption);
    }
    if (change instanceof Fence fence) {
      return applyFence(next, fence);
    }
    if (change instanceof Retire retirement) {
      return applyRetirement(next, retirement);
    }
    return result(next, Verdict.DUPLICATE, "the snapshot says nothing new here");
  }

  /**
   * Passes over a record that this program cannot read. Nothing else changes.
   *
   * @param state the state before
   * @param offset the record's offset
   * @return the state after
   */
  public static PermitState skipRecord(PermitState state, long offset) {
    return offset == state.offset() + 1 ? state.withOffset(offset) : state;
  }

  /**
   * Takes a snapshot, from the log or from a peer, if it is newer than the state.
   *
   * @param state the state before
   * @param snapshot the snapshot
   * @return the state of the snapshot, or the state before if that is as new
   */
  public static FoldResult<PermitState> applySnapshot(PermitState state, Snapshot snapshot) {
    if (snapshot.upTo() <= state.offset()) {
      return result(state, Verdict.DUPLICATE, "the state here is as new");
    }
    if (!PermitSnapshots.isComplete(snapshot)) {
      return result(state, Verdict.INVALID, "the snapshot is not whole");
    }
    return result(PermitSnapshots.read(snapshot), Verdict.APPLIED, "the state is the snapshot's");
  }

  private static FoldResult<PermitState> applyLimit(PermitState state, Limit limit) {
    if (limit.team() == null || limit.limit() < 0) {
      return result(state, Verdict.INVALID, "a limit needs a team and is not negative");
    }
    TeamPermits team = state.team(limit.team());
    // Every instance may say the limit it has folded. The highest revision is the newest, so an
    // instance that lags behind cannot bring an old limit back.
    if (limit.revision() <= team.revision()) {
      return result(state, Verdict.DUPLICATE, "the limit is known as new or newer");
    }
    return result(
        state.withTeam(limit.team(), team.withLimit(limit.revision(), limit.limit())),
        Verdict.APPLIED,
        "the limit is now " + limit.limit());
  }

  private static FoldResult<PermitState> applyHold(PermitState state, Hold hold) {
    if (hold.instance() == null || hold.team() == null || hold.count() < 0) {
      return result(state, Verdict.INVALID, "a hold needs a holder, a team and a count");
    }
    Holder holder = new Holder(hold.instance(), hold.incarnation());
    if (hold.sequence() <= state.sequenceOf(holder)) {
      return result(state, Verdict.DUPLICATE, "a later record of the holder was folded");
    }
    TeamPermits team = state.team(hold.team());
    int before = team.heldBy(holder);
    // An instance that was paused, taken over and resumed would hold permits that nobody frees
    // again. Giving back stays open to it.
    if (state.isFenced(holder) && hold.count() > before) {
      return result(state, Verdict.CONFLICT, holder + " is fenced off");
    }
    PermitState next = state.withSequence(holder, hold.sequence());
    if (team.revision() == 0) {
      return result(next, Verdict.CONFLICT, "no limit is known for " + hold.team());
    }
    int granted = grantedCount(team, before, hold.count());
    return result(
        next.withTeam(hold.team(), team.withHold(holder, granted, state.offset())),
        Verdict.APPLIED,
        "holds " + granted + " of " + hold.count() + " asked for");
  }

  private static int grantedCount(TeamPermits team, int before, int asked) {
    if (asked <= before) {
      return asked;
    }
    return Math.min(asked, before + team.free());
  }

  private static FoldResult<PermitState> applyAdoption(PermitState state, Adopt adoption) {
    if (adoption.instance() == null
        || adoption.worker() == null
        || adoption.tasks() == null
        || !adoption.tasks().stream().allMatch(PermitFold::isComplete)) {
      return result(state, Verdict.INVALID, "an adoption needs a holder, a worker and tasks");
    }
    Holder to = new Holder(adoption.instance(), adoption.incarnation());
    if (adoption.sequence() <= state.sequenceOf(to)) {
      return result(state, Verdict.DUPLICATE, "a later record of the adopter was folded");
    }
    if (state.isFenced(to)) {
      return result(state, Verdict.CONFLICT, to + " is fenced off");
    }
    WorkerAdoptions before = state.worker(adoption.worker());
    PermitState next = state.withSequence(to, adoption.sequence());
    if (before.isSuperseded(adoption.token(), to)) {
      return result(next, Verdict.CONFLICT, "the worker has a later controller");
    }
    WorkerAdoptions after = before.withController(adoption.token(), to, state.offset());
    for (AdoptedTasks tasks : adoption.tasks()) {
      Holder owner = new Holder(tasks.ownerInstance(), tasks.ownerIncarnation());
      // A holder that is not fenced off may be alive, though some do not see it. It would use the
      // permit of an adopted task again once that has ended, before it reads of the adoption.
      Holder from = before.holderOf(owner);
      if (state.isFenced(from)) {
        next = transferPermits(next, tasks, from, to);
        after = after.withAdopter(to, owner);
      }
    }
    return result(
        next.withWorker(adoption.worker(), after), Verdict.APPLIED, to + " speaks for the worker");
  }

  // The adopted tasks already run. Their permits move with them, so the sum stays as it is, and
  // nobody can take them in between. They may have moved before, to an adopter that is gone now
  // too; the state knows to whom.
  private static PermitState transferPermits(
      PermitState state, AdoptedTasks tasks, Holder from, Holder to) {
    TeamPermits team = state.team(tasks.team());
    int held = team.heldBy(from);
    int moved = Math.min(tasks.count(), held);
    return state.withTeam(
        tasks.team(),
        team.withHold(from, held - moved, state.offset())
            .withHold(to, team.heldBy(to) + moved, state.offset()));
  }

  private static boolean isComplete(AdoptedTasks tasks) {
    return tasks != null
        && tasks.team() != null
        && tasks.ownerInstance() != null
        && tasks.count() >= 0;
  }

  private static FoldResult<PermitState> applyFence(PermitState state, Fence fence) {
    if (fence.instance() == null) {
      return result(state, Verdict.INVALID, "a fence needs a holder");
    }
    Holder holder = new Holder(fence.instance(), fence.incarnation());
    // A holder that was only paused may have spoken for a worker since the sender looked, and may
    // start tasks there by the permits that it still knows of.
    if (fence.sequence() != state.sequenceOf(holder)) {
      return result(state, Verdict.CONFLICT, holder + " has spoken since");
    }
    return result(state.withFence(holder), Verdict.APPLIED, holder + " is fenced off");
  }

  private static FoldResult<PermitState> applyRetirement(PermitState state, Retire retirement) {
    if (retirement.instance() == null) {
      return result(state, Verdict.INVALID, "a retirement needs a holder");
    }
    Holder holder = new Holder(retirement.instance(), retirement.incarnation());
    if (!state.isFenced(holder)) {
      return result(state, Verdict.CONFLICT, holder + " is not fenced off");
    }
    return result(state.withoutHolder(holder), Verdict.APPLIED, holder + " holds nothing now");
  }

  private static FoldResult<PermitState> result(
      PermitState state, Verdict verdict, String sentence) {
    return new FoldResult<>(state, verdict, sentence);
  }
}
