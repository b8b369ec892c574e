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
 * <p>Stateless and thread-safe: the same records at the same offsets produce the same state at
 * every instance. Invariant: a record that raises the sum of a team's holds leaves it at or below
 * the team's limit.
 *
 * <p>All instances may request permits at once when a load peak begins, while others fail or an
 * operator lowers the limit. To keep two instances from both believing that they hold the last
 * permit, the order of the log decides: a later request gets the permits that remain.
 *
 * <p>The limit comes from this stream and not from the configuration stream. Two streams have no
 * common order, so instances would apply a lowered limit before different holds and would disagree
 * on the permits of each holder.
 */
public final class PermitFold {

  private PermitFold() {}

  /**
   * Folds one record.
   *
   * @param state the state before
   * @param offset the record's offset
   * @param change the record
   * @return the state after the record and the outcome; an applied snapshot sets the state's offset
   *     to the last one that the snapshot contains, and folding continues at the next offset
   */
  public static FoldResult<PermitState> apply(PermitState state, long offset, PermitRecord change) {
    if (offset <= state.offset()) {
      return result(state, Verdict.DUPLICATE, "the offset was already folded");
    }
    if (change instanceof Snapshot snapshot
        && snapshot.upTo() > state.offset()
        && snapshot.upTo() < offset) {
      return applySnapshot(state, snapshot);
    }
    if (offset > state.offset() + 1) {
      return result(state, Verdict.GAP, "earlier records are missing");
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
    return result(next, Verdict.DUPLICATE, "the snapshot adds nothing to the state");
  }

  /**
   * Skips a record that this version cannot decode. Only the offset of the state changes.
   *
   * @param state the state before
   * @param offset the record's offset
   * @return the state after the record
   */
  public static PermitState skipRecord(PermitState state, long offset) {
    return offset == state.offset() + 1 ? state.withOffset(offset) : state;
  }

  /**
   * Replaces the state by a snapshot, from the log or from a peer, if the snapshot is newer.
   *
   * @param state the state before
   * @param snapshot the snapshot
   * @return the state of the snapshot, or the state before if that is at least as new or the
   *     snapshot is incomplete
   */
  public static FoldResult<PermitState> applySnapshot(PermitState state, Snapshot snapshot) {
    if (snapshot.upTo() <= state.offset()) {
      return result(state, Verdict.DUPLICATE, "the state is at least as new as the snapshot");
    }
    if (!PermitSnapshots.isComplete(snapshot)) {
      return result(state, Verdict.INVALID, "the snapshot is incomplete");
    }
    return result(
        PermitSnapshots.read(snapshot), Verdict.APPLIED, "the state was replaced by the snapshot");
  }

  private static FoldResult<PermitState> applyLimit(PermitState state, Limit limit) {
    if (limit.team() == null || limit.limit() < 0) {
      return result(
          state, Verdict.INVALID, "a limit record needs a team and a limit of at least 0");
    }
    TeamPermits team = state.team(limit.team());
    // Every instance may publish the limit of the configuration that it has folded. Only a higher
    // revision applies, so an instance that lags behind cannot restore an old limit.
    if (limit.revision() <= team.revision()) {
      return result(
          state, Verdict.DUPLICATE, "the same or a newer revision of the limit was already folded");
    }
    return result(
        state.withTeam(limit.team(), team.withLimit(limit.revision(), limit.limit())),
        Verdict.APPLIED,
        "the limit is now " + limit.limit());
  }

  private static FoldResult<PermitState> applyHold(PermitState state, Hold hold) {
    if (hold.instance() == null || hold.team() == null || hold.count() < 0) {
      return result(
          state, Verdict.INVALID, "a hold record needs a holder, a team and a count of at least 0");
    }
    Holder holder = new Holder(hold.instance(), hold.incarnation());
    if (hold.sequence() <= state.sequenceOf(holder)) {
      return result(
          state,
          Verdict.DUPLICATE,
          "a record of the holder with this or a later sequence number was already folded");
    }
    TeamPermits team = state.team(hold.team());
    int before = team.heldBy(holder);
    // An instance that resumes after a pause in which it was taken over would receive permits that
    // nothing frees again. A fenced holder may still return permits.
    if (state.isFenced(holder) && hold.count() > before) {
      return result(state, Verdict.CONFLICT, holder + " is fenced");
    }
    PermitState next = state.withSequence(holder, hold.sequence());
    if (team.revision() == 0) {
      return result(next, Verdict.CONFLICT, "no limit is known for team " + hold.team());
    }
    int granted = grantedCount(team, before, hold.count());
    return result(
        next.withTeam(hold.team(), team.withHold(holder, granted, state.offset())),
        Verdict.APPLIED,
        "holds " + granted + " of " + hold.count() + " requested permits");
  }

  private static int grantedCount(TeamPermits team, int before, int requested) {
    if (requested <= before) {
      return requested;
    }
    return Math.min(requested, before + team.free());
  }

  private static FoldResult<PermitState> applyAdoption(PermitState state, Adopt adoption) {
    if (adoption.instance() == null
        || adoption.worker() == null
        || adoption.tasks() == null
        || !adoption.tasks().stream().allMatch(PermitFold::isComplete)) {
      return result(
          state, Verdict.INVALID, "an adoption record needs a holder, a worker and tasks");
    }
    Holder adopter = new Holder(adoption.instance(), adoption.incarnation());
    if (adoption.sequence() <= state.sequenceOf(adopter)) {
      return result(
          state,
          Verdict.DUPLICATE,
          "a record of the adopter with this or a later sequence number was already folded");
    }
    if (state.isFenced(adopter)) {
      return result(state, Verdict.CONFLICT, adopter + " is fenced");
    }
    WorkerAdoptions before = state.worker(adoption.worker());
    PermitState next = state.withSequence(adopter, adoption.sequence());
    if (before.isSuperseded(adoption.token(), adopter)) {
      return result(next, Verdict.CONFLICT, "the worker has a newer controller");
    }
    WorkerAdoptions after = before.withController(adoption.token(), adopter, state.offset());
    for (AdoptedTasks tasks : adoption.tasks()) {
      Holder owner = new Holder(tasks.ownerInstance(), tasks.ownerIncarnation());
      // A holder that is not fenced may be alive although some instances cannot reach it. Once an
      // adopted task ends, it would reuse the task's permit before it folds the adoption record.
      Holder currentHolder = before.holderOf(owner);
      if (state.isFenced(currentHolder)) {
        next = transferPermits(next, tasks, currentHolder, adopter);
        after = after.withAdopter(adopter, owner);
      }
    }
    return result(
        next.withWorker(adoption.worker(), after),
        Verdict.APPLIED,
        adopter + " controls the worker");
  }

  // The adopted tasks are already running. Their permits move with them, so the sum of the holds
  // does not change and no other holder can get the permits in between. If an earlier adopter has
  // failed as well, the permits move from that adopter, which the state records.
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
      return result(state, Verdict.INVALID, "a fence record needs a holder");
    }
    Holder holder = new Holder(fence.instance(), fence.incarnation());
    // A holder that was only paused may have appended an adoption record for a worker since the
    // sender's observation, and may start tasks there with the permits in its own state.
    if (fence.sequence() != state.sequenceOf(holder)) {
      return result(
          state,
          Verdict.CONFLICT,
          holder + " has appended a record since the sender's observation");
    }
    return result(state.withFence(holder), Verdict.APPLIED, holder + " is fenced");
  }

  private static FoldResult<PermitState> applyRetirement(PermitState state, Retire retirement) {
    if (retirement.instance() == null) {
      return result(state, Verdict.INVALID, "a retirement record needs a holder");
    }
    Holder holder = new Holder(retirement.instance(), retirement.incarnation());
    if (!state.isFenced(holder)) {
      return result(state, Verdict.CONFLICT, holder + " is not fenced");
    }
    return result(
        state.withoutHolder(holder), Verdict.APPLIED, holder + " no longer holds any permits");
  }

  private static FoldResult<PermitState> result(PermitState state, Verdict verdict, String reason) {
    return new FoldResult<>(state, verdict, reason);
  }
}
