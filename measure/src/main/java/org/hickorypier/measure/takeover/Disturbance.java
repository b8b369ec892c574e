package org.hickorypier.measure.takeover;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.hickorypier.measure.fleet.EntryProcess;
import org.hickorypier.measure.fleet.Fleet;
import org.hickorypier.measure.fleet.FleetException;

/**
 * Kills and pauses instances in turn, always leaving the rest of them running.
 *
 * <p>Belongs to one thread. A killed instance stays listed for a while and is replaced under
 * another name; a paused one sleeps past every lease and peer timeout and wakes again.
 */
final class Disturbance {

  private static final long LIST_LAG_MILLIS = 2_000;
  private static final long SETTLE_MILLIS = 6_000;

  private final Fleet fleet;
  private final TakeoverSettings settings;
  private final Random random;
  private int kills;
  private int pauses;

  Disturbance(Fleet fleet, TakeoverSettings settings) {
    this.fleet = fleet;
    this.settings = settings;
    this.random = new Random(settings.seed());
  }

  int kills() {
    return kills;
  }

  int pauses() {
    return pauses;
  }

  void run() throws FleetException {
    pass(SETTLE_MILLIS);
    for (int round = 0; round < settings.rounds(); round++) {
      kill(round);
      pass(SETTLE_MILLIS);
      pause();
      pass(SETTLE_MILLIS);
    }
  }

  private void kill(int round) throws FleetException {
    EntryProcess victim = pick();
    fleet.killEntry(victim);
    tell("killed", victim);
    kills++;
    pass(LIST_LAG_MILLIS);
    fleet.unlist(victim.name());
    fleet.startEntry("replacement-" + (round + 1));
  }

  private void pause() throws FleetException {
    EntryProcess victim = pick();
    victim.process().pause();
    tell("paused", victim);
    pauses++;
    pass(settings.leaseMillis() * 2);
    victim.process().resume();
    tell("resumed", victim);
  }

  /** Tells when what was done to whom, to compare with the histories of the workers. */
  private static void tell(String what, EntryProcess victim) {
    System.err.println(System.currentTimeMillis() + " " + what + " " + victim.name());
  }

  private EntryProcess pick() {
    List<EntryProcess> entries = fleet.entries();
    return entries.get(random.nextInt(entries.size()));
  }

  private static void pass(long millis) {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < end) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
  }
}
