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
import org.hickorypier.core.scheduling.WorkerRoom;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerListener;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.TeamUse;

/**
 * The last digest of every other instance, and this instance's own.
 *
 * <p>Belongs to the control thread. Digests guide the fair order and the routing; they are old by
 * up to a second and no promise rests on them.
 */
public final class PeerDigests implements PeerListener {

  private static final String OPEN_STATE = "open";

  private final Scheduler scheduler;
  private final Predicate<PlacedTask> isOurs;
  private final Map<String, ReceivedDigest> digestsByInstance = new TreeMap<>();
  private final Set<String> reportedTeams = new HashSet<>();

  /**
   * Creates a board without digests.
   *
   * @param scheduler the decisions, which are told what the teams use elsewhere
   * @param isOurs whether a placed task counts as this instance's; others tell of the rest
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
   * Returns the last digest of an instance.
   *
   * @param instance its name
   * @return the digest, or empty if it is not linked or has sent none
   */
  public Optional<Digest> latestDigest(String instance) {
    return Optional.ofNullable(digestsByInstance.get(instance)).map(ReceivedDigest::digest);
  }

  /**
   * Returns what each linked instance uses of a team, and has waiting.
   *
   * @param team the team
   * @return the use by instance; all zero where the digest does not name the team
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
   * Returns the instances of a set that have not folded an offset, as far as is known.
   *
   * @param instances the instances to look at
   * @param offset the offset
   * @return the names of those behind
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
   * Returns the highest configuration offset that an instance which takes work has folded.
   *
   * @return the offset, -1 if no such instance is linked
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
   * Makes this instance's digest.
   *
   * @param offset the configuration's offset
   * @param logAgeMillis for how long changes may have been missed
   * @param taking whether new work is taken
   * @return the digest
   */
  public Digest localDigest(long offset, long logAgeMillis, boolean taking) {
    Resources free = Resources.NONE;
    int slots = 0;
    for (WorkerRoom room : scheduler.workers()) {
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
    sums.forEach(scheduler::putUseElsewhere);
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
