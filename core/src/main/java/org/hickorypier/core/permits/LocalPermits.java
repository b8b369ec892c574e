package org.hickorypier.core.permits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeSet;
import org.hickorypier.core.fold.FoldResult;
import org.hickorypier.wire.record.PermitRecord;
import org.hickorypier.wire.record.PermitRecord.Adopt;
import org.hickorypier.wire.record.PermitRecord.AdoptedTasks;
import org.hickorypier.wire.record.PermitRecord.Fence;
import org.hickorypier.wire.record.PermitRecord.Hold;
import org.hickorypier.wire.record.PermitRecord.Limit;
import org.hickorypier.wire.record.PermitRecord.Snapshot;

/**
 * The permits of all teams as one instance sees them, and its own pending requests.
 *
 * <p>Invariant: {@link #usable} never exceeds the permits held according to the folded log, nor the
 * number last requested, and is 0 while the holds exceed the limit.
 *
 * <p>Confined to the control thread. Times are milliseconds of a monotonic clock that the caller
 * passes in.
 */
public final class LocalPermits {

  /**
   * The additional delay for each instance, in the order of their names, before it publishes a new
   * limit that no earlier instance has published. One record for a change is enough; without the
   * delay every instance would append one at the same time.
   */
  private static final long LIMIT_PUBLICATION_STAGGER_MILLIS = 300;

  private final Holder self;
  private final Map<String, LocalTeam> teams = new HashMap<>();
  private PermitState state = PermitState.EMPTY;
  private long lastSequence;
  private long adoptionSequence;

  /**
   * Creates the permits of an instance with an empty state.
   *
   * @param self this instance with its incarnation
   */
  public LocalPermits(Holder self) {
    this.self = self;
  }

  /**
   * Returns the permits of all holders as folded from the log.
   *
   * @return the state
   */
  public PermitState state() {
    return state;
  }

  /**
   * Folds a record of the permits stream.
   *
   * @param offset the offset of the record
   * @param change the record
   * @return the state after the record and the outcome for the record
   */
  public FoldResult<PermitState> fold(long offset, PermitRecord change) {
    FoldResult<PermitState> result = PermitFold.apply(state, offset, change);
    replaceState(result.state());
    return result;
  }

  /**
   * Skips a record that this version cannot decode.
   *
   * @param offset the offset of the record
   */
  public void skipRecord(long offset) {
    replaceState(PermitFold.skipRecord(state, offset));
  }

  /**
   * Replaces the state by a peer's snapshot if the snapshot is newer.
   *
   * @param snapshot the snapshot
   */
  public void applySnapshot(Snapshot snapshot) {
    replaceState(PermitFold.applySnapshot(state, snapshot).state());
  }

  /**
   * Sets a team's limit from the configuration, unless its revision is already known.
   *
   * @param name the team
   * @param revision the team's revision
   * @param limit the team's upper limit
   * @param nowMillis the current time in milliseconds
   */
  public void putTeam(String name, long revision, int limit, long nowMillis) {
    LocalTeam team = team(name);
    if (revision > team.revision) {
      team.revision = revision;
      team.limit = limit;
      team.limitChangedAt = nowMillis;
    }
  }

  /**
   * Plans one team's permits. The caller invokes it for each team about once a second, and whenever
   * the team's work or permits change.
   *
   * @param name the team
   * @param own this instance's demand
   * @param others the demand of each other live instance, from its digest
   * @param nowMillis the current time in milliseconds
   * @return the number of tasks that may run and the records to append
   */
  public PlannedPermits plan(
      String name, PermitDemand own, Map<Holder, PermitDemand> others, long nowMillis) {
    LocalTeam team = team(name);
    List<PermitRecord> records = new ArrayList<>();
    if (isLimitPublicationDue(name, team, others, nowMillis)) {
      team.publishedRevision = team.revision;
      records.add(new Limit(name, team.revision, team.limit));
    }
    long idleMillis = team.hasIdleExcess ? nowMillis - team.idleSince : 0;
    PermitPlan plan =
        PermitPlanner.plan(
            new PermitView(
                self, effectivePermits(name, team), own, others, team.pendingRequest, idleMillis));
    if (plan.hasIdleExcess() && !team.hasIdleExcess) {
      team.idleSince = nowMillis;
    }
    team.hasIdleExcess = plan.hasIdleExcess();
    team.cap = plan.cap();
    if (plan.request().isPresent() && !isAdoptionPending()) {
      int count = plan.request().getAsInt();
      team.pendingRequest = OptionalInt.of(count);
      team.requestSequence = ++lastSequence;
      records.add(new Hold(self.instance(), self.incarnation(), lastSequence, name, count));
    }
    return new PlannedPermits(usable(name), records);
  }

  /**
   * Returns the number of tasks of a team that may run at this instance. The number changes with
   * each folded record and each call of {@link #plan}.
   *
   * @param name the team
   * @return the number; no task may start while at least as many run
   */
  public int usable(String name) {
    LocalTeam team = team(name);
    TeamPermits permits = effectivePermits(name, team);
    if (permits.isOverLimit()) {
      return 0;
    }
    // A request for fewer permits may already be in the log, so it limits the usable permits from
    // the moment it is made. A request for more counts only once it has been folded.
    int held = permits.heldBy(self);
    return Math.min(team.cap, Math.min(held, team.pendingRequest.orElse(held)));
  }

  /**
   * Creates the record that announces control of a worker and adopts tasks on it. The caller
   * appends one after each grant of control, even without tasks, and another when an owner of tasks
   * on the worker fails later.
   *
   * @param worker the worker
   * @param token the control token that the worker granted
   * @param tasks the running tasks of failed owners, as the worker reported them after the grant
   * @return the record
   */
  public Adopt createAdoption(String worker, long token, List<AdoptedTasks> tasks) {
    adoptionSequence = ++lastSequence;
    return new Adopt(
        self.instance(), self.incarnation(), adoptionSequence, worker, token, List.copyOf(tasks));
  }

  // Until the adoption record is folded, the hold in the state lacks the permits of the adopted
  // tasks. A request that is planned from it would take effect as a request for fewer permits than
  // there are running tasks; the fold would grant the rest to others and exceed the limit.
  private boolean isAdoptionPending() {
    return adoptionSequence > state.sequenceOf(self);
  }

  /**
   * Returns whether tasks may start on a worker under a control token, which requires that this
   * instance's adoption record for the token has been folded.
   *
   * <p>An instance that resumes after a pause may have been fenced without knowing it and still
   * count on permits that other instances now use. The workers that it controlled before reject it,
   * but it can claim a worker again. The fold rejects its adoption record if the fence precedes it;
   * once the adoption record is folded, the fold rejects a fence that is based on an earlier state.
   *
   * @param worker the worker
   * @param token the control token that the worker granted
   * @return whether tasks may start
   */
  public boolean mayStartOn(String worker, long token) {
    WorkerAdoptions adoption = state.worker(worker);
    return adoption.token() == token && adoption.controller().equals(self);
  }

  /**
   * Returns whether this incarnation is fenced. A fenced incarnation never receives a permit again
   * and may not start tasks on any worker; only a new incarnation can.
   *
   * @return whether this incarnation is fenced
   */
  public boolean isFenced() {
    return state.isFenced(self);
  }

  /**
   * Returns whether this instance's permits cover the tasks of an owner on a worker. Covered tasks
   * count as running in the instance's demand.
   *
   * @param worker the worker
   * @param owner the holder that started the tasks
   * @return whether this instance's permits cover the tasks
   */
  public boolean covers(String worker, Holder owner) {
    return state.worker(worker).holderOf(owner).equals(self);
  }

  /**
   * Creates the record that fences a holder. The caller checks {@link RetirementRule#mayFence}
   * first. The state must date from before the workers were queried, so that the fold rejects the
   * fence if the holder has appended a record since.
   *
   * @param holder the holder that appears to have failed
   * @return the record
   */
  public Fence createFence(Holder holder) {
    return new Fence(holder.instance(), holder.incarnation(), state.sequenceOf(holder));
  }

  /**
   * Discards the pending state of a record that was never sent to the log. An adoption record has
   * to be created again.
   *
   * @param change the record
   */
  public void onRecordNotAppended(PermitRecord change) {
    if (change instanceof Hold hold) {
      LocalTeam team = team(hold.team());
      if (team.requestSequence == hold.sequence()) {
        team.pendingRequest = OptionalInt.empty();
      }
    } else if (change instanceof Adopt adoption) {
      if (adoptionSequence == adoption.sequence()) {
        adoptionSequence = 0;
      }
    } else if (change instanceof Limit limit) {
      team(limit.team()).publishedRevision = 0;
    }
  }

  private void replaceState(PermitState next) {
    state = next;
    long folded = state.sequenceOf(self);
    for (LocalTeam team : teams.values()) {
      // Once a record with the same or a later sequence number is folded, the request can no longer
      // take effect, even if its record was lost.
      if (team.requestSequence <= folded) {
        team.pendingRequest = OptionalInt.empty();
      }
    }
  }

  // The configuration may be ahead of the permits stream. A lowered limit applies as soon as this
  // instance knows it; a raised limit applies once its record is folded in the order of the log,
  // which is the same for all instances.
  private TeamPermits effectivePermits(String name, LocalTeam team) {
    TeamPermits permits = state.team(name);
    if (team.revision > permits.revision() && team.limit < permits.limit()) {
      return permits.withLimit(permits.revision(), team.limit);
    }
    return permits;
  }

  private boolean isLimitPublicationDue(
      String name, LocalTeam team, Map<Holder, PermitDemand> others, long nowMillis) {
    if (team.revision <= Math.max(team.publishedRevision, state.team(name).revision())) {
      return false;
    }
    TreeSet<Holder> sortedOthers = new TreeSet<>(others.keySet());
    int rank = sortedOthers.headSet(self).size();
    return nowMillis - team.limitChangedAt >= rank * LIMIT_PUBLICATION_STAGGER_MILLIS;
  }

  private LocalTeam team(String name) {
    return teams.computeIfAbsent(name, unknown -> new LocalTeam());
  }

  private static final class LocalTeam {
    private long revision;
    private int limit;
    private long limitChangedAt;
    private long publishedRevision;
    private OptionalInt pendingRequest = OptionalInt.empty();
    private long requestSequence;
    private int cap;
    private boolean hasIdleExcess;
    private long idleSince;
  }
}
