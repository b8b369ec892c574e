package org.hickorypier.measure.takeover;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.hickorypier.measure.fleet.CallerAnswer;
import org.hickorypier.measure.fleet.EntryProcess;
import org.hickorypier.measure.fleet.Fleet;
import org.hickorypier.measure.fleet.RequestForm;
import org.hickorypier.measure.takeover.LoadEntry.Ending;

/**
 * One caller that asks, waits for the answer, and asks again, each time at an instance that the
 * balancer would pick. A request without an answer is repeated under the same id elsewhere.
 *
 * <p>Belongs to its own thread; its entries may be read once that has ended.
 */
final class LoadCaller implements Runnable {

  private static final long GIVE_UP_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final int MOST_RUN_MILLIS = 100;
  private static final int MOST_ANSWER_BYTES = 3_000;
  private static final int UNKNOWN_FATE = 504;
  private static final int FAILED = 502;

  private final Fleet fleet;
  private final String team;
  private final String key;
  private final String name;
  private final BooleanSupplier going;
  private final Random random;
  private final List<LoadEntry> entries = new ArrayList<>();

  LoadCaller(Fleet fleet, String team, String key, String name, BooleanSupplier going, long seed) {
    this.fleet = fleet;
    this.team = team;
    this.key = key;
    this.name = name;
    this.going = going;
    this.random = new Random(seed);
  }

  List<LoadEntry> entries() {
    return entries;
  }

  @Override
  public void run() {
    for (int number = 0; going.getAsBoolean(); number++) {
      RequestForm form =
          RequestForm.request(
              name + "-" + number,
              random.nextBoolean(),
              random.nextInt(MOST_RUN_MILLIS),
              random.nextInt(MOST_ANSWER_BYTES));
      LoadEntry entry = settle(form);
      entries.add(entry);
      if (entry.ending() == Ending.NOT_RUN) {
        LockSupport.parkNanos(PAUSE_NANOS);
      }
    }
  }

  /**
   * Asks until there is an answer to conclude from. A refusal after an earlier attempt whose answer
   * was lost says nothing of that attempt, so the caller goes on asking.
   */
  private LoadEntry settle(RequestForm form) {
    long start = System.nanoTime();
    boolean earlierLost = false;
    String detail = "";
    while (System.nanoTime() - start < GIVE_UP_NANOS) {
      List<EntryProcess> instances = fleet.entries();
      EntryProcess instance = instances.get(random.nextInt(instances.size()));
      CallerAnswer answer = fleet.call(instance, key, form);
      detail = instance.name() + " answered " + answer.status() + " " + answer.outcome();
      Ending ending = conclude(form, answer, earlierLost);
      if (ending != null) {
        return entry(form, ending, start, detail);
      }
      earlierLost |= !answer.notRun();
      LockSupport.parkNanos(PAUSE_NANOS);
    }
    return entry(form, Ending.LOST, start, detail);
  }

  /** Returns null if the caller must ask again. */
  private Ending conclude(RequestForm form, CallerAnswer answer, boolean earlierLost) {
    if (answer.completed()) {
      return answer.answers(team, form) ? Ending.ANSWERED : Ending.WRONG;
    }
    if (answer.notRun() && !earlierLost) {
      return Ending.NOT_RUN;
    }
    if (answer.status() == UNKNOWN_FATE && !form.idempotent()) {
      return Ending.UNKNOWN;
    }
    return answer.status() == FAILED ? Ending.LOST : null;
  }

  private LoadEntry entry(RequestForm form, Ending ending, long start, String detail) {
    return new LoadEntry(
        team, form.requestId(), form.idempotent(), ending, start, System.nanoTime(), detail);
  }
}
