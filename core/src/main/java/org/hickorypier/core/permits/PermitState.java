package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The permits of all teams as folded up to an offset.
 *
 * <p>Immutable and thread safe. Two instances that folded up to the same offset hold equal states.
 *
 * @param offset the last offset folded, -1 if none
 * @param teams the teams by name
 * @param sequences the last sequence number of each holder
 * @param fenced the highest incarnation fenced off, by instance
 * @param workers who spoke for each worker last, and who adopted what there
 */
public record PermitState(
    long offset,
    Map<String, TeamPermits> teams,
    Map<Holder, NumberAtOffset> sequences,
    Map<String, NumberAtOffset> fenced,
    Map<String, WorkerAdoptions> workers) {

  /**
   * For how many offsets a holder that holds nothing, or an incarnation fenced off, is remembered.
   * Forgetting one too early costs at most a hold that nobody uses, which is freed again.
   */
  static final long RETENTION_OFFSETS = 65_536;

  /** The state before the first record. */
  public static final PermitState EMPTY =
      new PermitState(-1, Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public PermitState {
    teams = Map.copyOf(teams);
    sequences = Map.copyOf(sequences);
    fenced = Map.copyOf(fenced);
    workers = Map.copyOf(workers);
  }

  /**
   * Returns a team's permits.
   *
   * @param team the team
   * @return its permits; limit 0 if the team is unknown
   */
  public TeamPermits team(String team) {
    return teams.getOrDefault(team, TeamPermits.NONE);
  }

  /**
   * Returns what was said of a worker.
   *
   * @param worker the worker
   * @return who spoke last, and the adoptions; token 0 if nobody spoke
   */
  public WorkerAdoptions worker(String worker) {
    return workers.getOrDefault(worker, WorkerAdoptions.NONE);
  }

  /**
   * Returns the last sequence number folded of a holder.
   *
   * @param holder the holder
   * @return the number, 0 if none
   */
  public long sequenceOf(Holder holder) {
    NumberAtOffset mark = sequences.get(holder);
    return mark == null ? 0 : mark.number();
  }

  /**
   * Tells whether an incarnation, or one after it of the same instance, was fenced off.
   *
   * @param holder the incarnation
   * @return true if it gets no more permits and starts nothing any more
   */
  public boolean isFenced(Holder holder) {
    NumberAtOffset mark = fenced.get(holder.instance());
    return mark != null && holder.incarnation() <= mark.number();
  }

  /**
   * Returns all that hold permits or have held some and are not fenced, dead ones too.
   *
   * @return the holders in order
   */
  public Set<Holder> holders() {
    Set<Holder> holders = new TreeSet<>();
    teams.values().forEach(team -> holders.addAll(team.holds().keySet()));
    return holders;
  }

  /**
   * Tells whether no incarnation that ever held permits is gone.
   *
   * @param isLive whether an incarnation looks live
   * @return false also if one was fenced off that is remembered here
   */
  public boolean hasOnlyLiveHolders(Predicate<Holder> isLive) {
    return fenced.isEmpty()
        && sequences.keySet().stream().allMatch(isLive)
        && holders().stream().allMatch(isLive);
  }

  PermitState withOffset(long newOffset) {
    return new PermitState(newOffset, teams, sequences, fenced, workers);
  }

  PermitState withTeam(String name, TeamPermits team) {
    Map<String, TeamPermits> next = new HashMap<>(teams);
    next.put(name, team);
    return new PermitState(offset, next, sequences, fenced, workers);
  }

  PermitState withWorker(String name, WorkerAdoptions worker) {
    Map<String, WorkerAdoptions> next = new HashMap<>(workers);
    next.put(name, worker);
    return new PermitState(offset, teams, sequences, fenced, next);
  }

  PermitState withSequence(Holder holder, long sequence) {
    Map<Holder, NumberAtOffset> next = new HashMap<>(sequences);
    if (next.put(holder, new NumberAtOffset(sequence, offset)) == null) {
      // A new holder is the moment to forget old ones, so the map stays as small as the fleet.
      Set<Holder> holding = holders();
      next.entrySet()
          .removeIf(entry -> isExpired(entry.getValue()) && !holding.contains(entry.getKey()));
    }
    return new PermitState(offset, teams, next, fenced, workers);
  }

  PermitState withFence(Holder holder) {
    Map<String, NumberAtOffset> next = new HashMap<>(fenced);
    next.values().removeIf(this::isExpired);
    next.merge(
        holder.instance(),
        new NumberAtOffset(holder.incarnation(), offset),
        (old, added) -> old.number() > added.number() ? old : added);
    return new PermitState(offset, teams, sequences, next, workers);
  }

  PermitState withoutHolder(Holder holder) {
    Map<String, TeamPermits> nextTeams = new HashMap<>();
    teams.forEach((name, team) -> nextTeams.put(name, team.withoutHolder(holder)));
    Map<Holder, NumberAtOffset> nextSequences = new HashMap<>(sequences);
    nextSequences.remove(holder);
    return new PermitState(offset, nextTeams, nextSequences, fenced, workersWithout(holder));
  }

  private Map<String, WorkerAdoptions> workersWithout(Holder holder) {
    Map<String, WorkerAdoptions> next = new HashMap<>();
    workers.forEach((name, worker) -> next.put(name, worker.withoutAdopter(holder)));
    // Workers that were replaced long ago.
    next.values()
        .removeIf(
            worker -> worker.adopters().isEmpty() && worker.offset() < offset - RETENTION_OFFSETS);
    return next;
  }

  private boolean isExpired(NumberAtOffset mark) {
    return mark.offset() < offset - RETENTION_OFFSETS;
  }
}
