package org.hickorypier.core.permits;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The permits of all teams as folded from the log up to an offset.
 *
 * <p>Immutable and thread-safe. Instances that have folded up to the same offset have equal states.
 *
 * @param offset the last folded offset, -1 if there is none
 * @param teams the permits of each team, by team name
 * @param sequences the last sequence number of each holder
 * @param fenced the highest fenced incarnation, by instance
 * @param workers the last folded controller and the adoptions of each worker, by worker name
 */
public record PermitState(
    long offset,
    Map<String, TeamPermits> teams,
    Map<Holder, NumberAtOffset> sequences,
    Map<String, NumberAtOffset> fenced,
    Map<String, WorkerAdoptions> workers) {

  /**
   * The number of offsets for which a holder without permits, or a fenced incarnation, is retained.
   * Removing one too early costs at most a hold that nobody uses, which is freed again.
   */
  static final long RETENTION_OFFSETS = 65_536;

  /** The state before the first record. */
  public static final PermitState EMPTY =
      new PermitState(-1, Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps, so that the record stays immutable. */
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
   * @return the permits, with a limit of 0 if the team is unknown
   */
  public TeamPermits team(String team) {
    return teams.getOrDefault(team, TeamPermits.NONE);
  }

  /**
   * Returns the controller and the adoptions of a worker.
   *
   * @param worker the worker
   * @return the last folded controller and the adoptions, with a token of 0 if there are none
   */
  public WorkerAdoptions worker(String worker) {
    return workers.getOrDefault(worker, WorkerAdoptions.NONE);
  }

  /**
   * Returns the last folded sequence number of a holder.
   *
   * @param holder the holder
   * @return the number, 0 if there is none
   */
  public long sequenceOf(Holder holder) {
    NumberAtOffset latest = sequences.get(holder);
    return latest == null ? 0 : latest.number();
  }

  /**
   * Returns whether an incarnation, or a later one of the same instance, was fenced.
   *
   * @param holder the incarnation
   * @return whether the incarnation may neither receive permits nor start tasks
   */
  public boolean isFenced(Holder holder) {
    NumberAtOffset latest = fenced.get(holder.instance());
    return latest != null && holder.incarnation() <= latest.number();
  }

  /**
   * Returns all holders that have or had permits and are not retired, including failed ones.
   *
   * @return the holders in ascending order
   */
  public Set<Holder> holders() {
    Set<Holder> holders = new TreeSet<>();
    teams.values().forEach(team -> holders.addAll(team.holds().keySet()));
    return holders;
  }

  /**
   * Returns whether every incarnation that ever held permits is live.
   *
   * @param isLive whether an incarnation appears to be live
   * @return whether all are live; false if the state retains a fenced incarnation
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
      // Each new holder triggers the removal of old ones, so the map stays as small as the fleet.
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
    // Removes workers that were replaced long ago.
    next.values()
        .removeIf(
            worker -> worker.adopters().isEmpty() && worker.offset() < offset - RETENTION_OFFSETS);
    return next;
  }

  private boolean isExpired(NumberAtOffset number) {
    return number.offset() < offset - RETENTION_OFFSETS;
  }
}
