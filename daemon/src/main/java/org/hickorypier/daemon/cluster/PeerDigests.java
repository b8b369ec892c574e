package org.hickorypier.daemon.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.scheduling.PlacedTask;
import org.hickorypier.core.scheduling.Scheduler;
import org.hickorypier.core.scheduling.WorkerSnapshot;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerListener;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.TeamUse;

/**
 * Stores the latest digest of every other linked instance and builds this instance's own digest.
 *
 * <p>Confined to the control thread. Digests guide fair ordering and routing. They are up to one
 * second old, so no guarantee depends on them.
 */
public final class PeerDigests implements PeerListener {

  private static final String OPEN_STATE = "open";

  private final Scheduler scheduler;
  private final Predicate<PlacedTask> isOurs;
  private final Map<String, ReceivedDigest> digestsByInstance = new TreeMap<>();
  private final Set<String> reportedTeams = new HashSet<>();

  /**
   * Creates a store without digests.
   *
   * @param scheduler the local scheduler, which receives the teams' usage at other instances
   * @param isOurs whether a placed task belongs to this instance; its owner reports any other task
   */
  public PeerDigests(Scheduler scheduler, Predicate<PlacedTask> isOurs) {
    this.scheduler = scheduler;
    this.isOurs = isOurs;
  }

  @Override
  public void message(PeerIdentity peer, PeerMessage message) {
    if (message instanceof Digest digest) {
      digestsByInstance.put(peer.name(), new ReceivedDigest(peer, digest));
      updateScheduler();
    }
  }

  @Override
  public void down(PeerIdentity peer) {
    digestsByInstance.remove(peer.name());
    updateScheduler();
  }

  /**
   * Returns the latest digest of an instance.
   *
   * @param instance its name
   * @return the digest, or empty if the instance is not linked or has sent none
   */
  public Optional<Digest> latestDigest(String instance) {
    return Optional.ofNullable(digestsByInstance.get(instance)).map(ReceivedDigest::digest);
  }

  /**
   * Returns the running and waiting work of a team at each linked instance.
   *
   * @param team the team
   * @return the usage by instance; all zero where the digest does not contain the team
   */
  public Map<PeerIdentity, TeamUse> usageByInstance(String team) {
    Map<PeerIdentity, TeamUse> uses = new HashMap<>();
    for (ReceivedDigest from : digestsByInstance.values()) {
      TeamUse use =
          from.digest().teams().stream()
              .filter(one -> one.team().equals(team))
              .findFirst()
              .orElseGet(() -> new UsageCounter().toTeamUse(team));
      uses.put(from.peer(), use);
    }
    return uses;
  }

  /**
   * Returns the instances that, by their latest digests, have not applied a configuration offset.
   *
   * @param instances the instances to check
   * @param offset the configuration offset
   * @return the sorted names of the instances that are behind or have no digest here
   */
  public List<String> instancesBehind(Set<String> instances, long offset) {
    return instances.stream()
        .filter(
            name ->
                latestDigest(name)
                    .map(digest -> digest.configurationOffset() < offset)
                    .orElse(true))
        .sorted()
        .toList();
  }

  /**
   * Returns the highest configuration offset applied by any linked instance that accepts work.
   *
   * @return the offset, or -1 if no such instance is linked
   */
  public long highestReadyOffset() {
    return digestsByInstance.values().stream()
        .map(ReceivedDigest::digest)
        .filter(Digest::taking)
        .mapToLong(Digest::configurationOffset)
        .max()
        .orElse(-1);
  }

  /**
   * Builds this instance's digest.
   *
   * @param offset the applied configuration offset
   * @param logAgeMillis the time for which changes may have been missed, in milliseconds
   * @param taking whether this instance accepts new work
   * @return the digest
   */
  public Digest localDigest(long offset, long logAgeMillis, boolean taking) {
    Resources free = Resources.NONE;
    int slots = 0;
    for (WorkerSnapshot room : scheduler.workers()) {
      if (OPEN_STATE.equals(room.state())) {
        free = free.plus(room.free());
        slots += room.freeSlots();
      }
    }
    Map<String, UsageCounter> uses = new TreeMap<>();
    for (PlacedTask task : scheduler.placed()) {
      if (isOurs.test(task)) {
        usageOf(uses, task.taskId().key().team()).place(task.reserved());
      }
    }
    int[] waiting = new int[WorkClass.values().length];
    for (WorkItem item : scheduler.queued()) {
      waiting[item.workClass().ordinal()] += item.tasks();
      usageOf(uses, item.key().team()).waiting += item.tasks();
    }
    List<TeamUse> teams = new ArrayList<>();
    uses.forEach((team, use) -> teams.add(use.toTeamUse(team)));
    return new Digest(
        offset,
        logAgeMillis,
        taking,
        free.milliProcessors(),
        free.memoryMebibytes(),
        free.accelerators(),
        slots,
        java.util.Arrays.stream(waiting).boxed().toList(),
        teams);
  }

  private static UsageCounter usageOf(Map<String, UsageCounter> uses, String team) {
    return uses.computeIfAbsent(team, name -> new UsageCounter());
  }

  private void updateScheduler() {
    Map<String, Resources> sums = new HashMap<>();
    for (ReceivedDigest from : digestsByInstance.values()) {
      for (TeamUse use : from.digest().teams()) {
        Resources used =
            new Resources(use.milliProcessors(), use.memoryMebibytes(), use.accelerators());
        sums.merge(use.team(), used, Resources::plus);
      }
    }
    reportedTeams.forEach(team -> sums.putIfAbsent(team, Resources.NONE));
    reportedTeams.addAll(sums.keySet());
    sums.forEach(scheduler::putRemoteUsage);
  }

  private record ReceivedDigest(PeerIdentity peer, Digest digest) {}

  private static final class UsageCounter {
    private int running;
    private int waiting;
    private Resources reserved = Resources.NONE;

    void place(Resources amount) {
      running++;
      reserved = reserved.plus(amount);
    }

    TeamUse toTeamUse(String team) {
      return new TeamUse(
          team,
          running,
          waiting,
          reserved.milliProcessors(),
          reserved.memoryMebibytes(),
          reserved.accelerators());
    }
  }
}
