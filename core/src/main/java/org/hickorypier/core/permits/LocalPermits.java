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
 * One instance's side of the permits: the state as folded, and its own requests under way.
 *
 * <p>Invariant: {@link #usable} never exceeds what is held as read back, what was last asked for,
 * nor 0 while the holds exceed the limit. Not thread safe: it belongs to the control thread. Time
 * is passed in, as milliseconds of a monotonic clock.
 */
public final class LocalPermits {

  /**
   * How much later each instance in the order of names says a new limit, if none before it has. One
   * record for a change is enough; without the order each instance would append one at once.
   */
  private static final long LIMIT_PUBLICATION_STAGGER_MILLIS = 300;

  private final Holder self;
  private final Map<String, LocalTeam> teams = new HashMap<>();
  private PermitState state = PermitState.EMPTY;
  private long lastSequence;
  private long adoptionSequence;

  /**
   * Creates the instance's side.
   *
   * @param self this instance with its incarnation
   */
  public LocalPermits(Holder self) {
    this.self = self;
  }

  /**
   * Returns the permits of all as folded.
   *
   * @return the state
   */
  public PermitState state() {
    return state;
  }

  /**
   * Folds a record of the permits stream.
   *
   * @param offset its offset
   * @param change the record
   * @return the state after and what became of the record
   */
  public FoldResult<PermitState> fold(long offset, PermitRecord change) {
    FoldResult<PermitState> result = PermitFold.apply(state, offset, change);
    replaceState(result.state());
    return result;
  }

  /**
   * Passes over a record that cannot be read here.
   *
   * @param offset its offset
   */
  public void skipRecord(long offset) {
    replaceState(PermitFold.skipRecord(state, offset));
  }

  /**
   * Takes a peer's snapshot if it is newer.
   *
   * @param snapshot the snapshot
   */
  public void applySnapshot(Snapshot snapshot) {
    replaceState(PermitFold.applySnapshot(state, snapshot).state());
  }

  /**
   * Takes in a team's limit from the configuration.
   *
   * @param name the team
   * @param revision the team's revision
   * @param limit its upper limit
   * @param now the time
   */
  public void putTeam(String name, long revision, int limit, long now) {
    LocalTeam team = team(name);
    if (revision > team.revision) {
      team.revision = revision;
      team.limit = limit;
      team.limitChangedAt = now;
    }
  }

  /**
   * Plans one team's permits. To be called for each team about once a second, and when its work or
   * its permits have changed.
   *
   * @param name the team
   * @param own this instance's demand
   * @param others the demand of the other live instances, from their digests
   * @param now the time
   * @return what may run, and what to append
   */
  public PlannedPermits plan(
      String name, PermitDemand own, Map<Holder, PermitDemand> others, long now) {
    LocalTeam team = team(name);
    List<PermitRecord> records = new ArrayList<>();
    if (isLimitPublicationDue(name, team, others, now)) {
      team.publishedRevision = team.revision;
      records.add(new Limit(name, team.revision, team.limit));
    }
    long idleMillis = team.hasIdleExcess ? now - team.idleSince : 0;
    PermitPlan plan =
        PermitPlanner.plan(
            new PermitView(
                self, effectivePermits(name, team), own, others, team.pendingRequest, idleMillis));
    if (plan.hasIdleExcess() && !team.hasIdleExcess) {
      team.idleSince = now;
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
   * Returns how many tasks of a team may run here now. It changes with each record folded and with
   * each call of {@link #plan}.
   *
   * @param name the team
   * @return the number; if more run, nothing may start
   */
  public int usable(String name) {
    LocalTeam team = team(name);
    TeamPermits permits = effectivePermits(name, team);
    if (permits.isOverLimit()) {
      return 0;
    }
    // A request for fewer may be in force already: from the moment of asking, no more than that is
    // used. A request for more counts only once it has been read back.
    int held = permits.heldBy(self);
    return Math.min(team.cap, Math.min(held, team.pendingRequest.orElse(held)));
  }

  /**
   * Makes the record that speaks for a worker. To be appended after each grant of control, also
   * with no tasks, and again when the owner of tasks there goes later.
   *
   * @param worker the worker
   * @param token the control token that the worker granted
   * @param tasks the running tasks of owners that are gone, as the worker named them after the
   *     grant
   * @return the record
   */
  public Adopt createAdoption(String worker, long token, List<AdoptedTasks> tasks) {
    adoptionSequence = ++lastSequence;
    return new Adopt(
        self.instance(), self.incarnation(), adoptionSequence, worker, token, List.copyOf(tasks));
  }

  // Until the adopted tasks' permits have come, the hold seen here is lower than it will be. A
  // request planned on it would arrive as one for fewer than what runs, and the fold would give the
  // rest to others: more would run than the limit allows.
  private boolean isAdoptionPending() {
    return adoptionSequence > state.sequenceOf(self);
  }

  /**
   * Tells whether tasks may start on a worker under a control token: whether this instance's word
   * for it has been read back.
   *
   * <p>An instance that was paused may have been fenced off meanwhile and not know it: it still
   * counts on permits that others use by now. Its old workers refuse it, but it may claim one anew.
   * Its word is refused if the fence came first; and after its word the fold refuses to fence it
   * off on older evidence.
   *
   * @param worker the worker
   * @param token the control token that the worker granted
   * @return true if so
   */
  public boolean mayStartOn(String worker, long token) {
    WorkerAdoptions word = state.worker(worker);
    return word.token() == token && word.controller().equals(self);
  }

  /**
   * Tells whether this instance was fenced off. It then never gets a permit again, nor may it start
   * tasks on any worker: only a new incarnation can.
   *
   * @return true if so
   */
  public boolean isFenced() {
    return state.isFenced(self);
  }

  /**
   * Tells whether the tasks of an owner on a worker are covered by this instance's permits, and so
   * count as running in its demand.
   *
   * @param worker the worker
   * @param owner who started them
   * @return true if so
   */
  public boolean covers(String worker, Holder owner) {
    return state.worker(worker).holderOf(owner).equals(self);
  }

  /**
   * Makes the record that fences a holder off. Only after {@link RetirementRule#mayFence}; this
   * state must be one from before the workers were asked.
   *
   * @param gone the holder that looks gone
   * @return the record
   */
  public Fence createFence(Holder gone) {
    return new Fence(gone.instance(), gone.incarnation(), state.sequenceOf(gone));
  }

  /**
   * Takes note that a record made here was never sent to the log. A word for a worker has to be
   * made anew.
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
      // A later record of this holder was folded, so the earlier one can no longer take effect,
      // even if it was lost on the way.
      if (team.requestSequence <= folded) {
        team.pendingRequest = OptionalInt.empty();
      }
    }
  }

  // The configuration may be ahead of the permits stream. A lowered limit counts from the moment it
  // is known here; a raised one from the moment all have it in the same order.
  private TeamPermits effectivePermits(String name, LocalTeam team) {
    TeamPermits permits = state.team(name);
    if (team.revision > permits.revision() && team.limit < permits.limit()) {
      return permits.withLimit(permits.revision(), team.limit);
    }
    return permits;
  }

  private boolean isLimitPublicationDue(
      String name, LocalTeam team, Map<Holder, PermitDemand> others, long now) {
    if (team.revision <= Math.max(team.publishedRevision, state.team(name).revision())) {
      return false;
    }
    TreeSet<Holder> before = new TreeSet<>(others.keySet());
    int turn = before.headSet(self).size();
    return now - team.limitChangedAt >= turn * LIMIT_PUBLICATION_STAGGER_MILLIS;
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
