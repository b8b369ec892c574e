package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.hickorypier.core.submission.CrashRecord;

/**
 * The runs of a task that were lost with their workers. A gang starts and ends as a whole and has
 * one history.
 *
 * <p>Invariants: a run is counted once, however many workers it was lost with; the next run after a
 * lost one is announced, and starts only once the announcement is durable, so that a successor
 * knows of it even if the worker and the owner are lost at once. Confined to the control thread.
 */
final class CrashHistory {

  private final List<LostRun> lostRuns = new ArrayList<>(0);

  /** The announced run that has neither ended nor been lost, or 0. */
  private int announcedRun;

  private int lateStarts;
  private boolean announcementDurable;

  /** Whether an earlier owner announced the run, so that it may have been lost unseen. */
  private boolean announcedByEarlierOwner;

  /** The worker with which the last run was lost, or null. */
  private String lastLostWorker;

  List<LostRun> lostRuns() {
    return List.copyOf(lostRuns);
  }

  boolean isEmpty() {
    return lostRuns.isEmpty() && announcedRun == 0;
  }

  boolean has(int number) {
    return lostRuns.stream().anyMatch(lost -> lost.number() == number);
  }

  void clear() {
    lostRuns.clear();
    announcedRun = 0;
    lateStarts = 0;
  }

  /** Returns the number of runs that an owner has seen to be lost with their workers. */
  int seenLosses() {
    int seen = 0;
    for (LostRun lost : lostRuns) {
      seen += lost.isSeen() ? 1 : 0;
    }
    return seen;
  }

  /** Returns the number of runs that may have been started by an owner that was then lost. */
  int unseenRuns() {
    return lostRuns.size() - seenLosses();
  }

  /** Returns for how long a lost run may have worked at most, in milliseconds. */
  long longestLostMillis() {
    long longest = 0;
    for (LostRun lost : lostRuns) {
      longest = lost.isSeen() ? Math.max(longest, lost.ranMillis()) : longest;
    }
    return longest;
  }

  /** Returns how much the losses suggest that the task crashes its workers. */
  int decibans() {
    int sum = 0;
    for (LostRun lost : lostRuns) {
      sum += lost.decibans();
    }
    return sum;
  }

  /** Records a lost run. */
  void add(LostRun lost, String worker) {
    lastLostWorker = worker;
    if (announcedRun == lost.number()) {
      announcedRun = 0;
    }
    for (int index = 0; index < lostRuns.size(); index++) {
      LostRun known = lostRuns.get(index);
      if (known.number() == lost.number()) {
        LostRun.Kind kind = known.isAlone() ? known.kind() : lost.kind();
        lostRuns.set(
            index,
            new LostRun(
                lost.number(),
                kind,
                known.lostAt(),
                known.ranMillis(),
                Math.min(known.decibans(), lost.decibans()),
                lost.settled()));
        return;
      }
    }
    lostRuns.add(lost);
  }

  /** Removes a run that its worker has not crashed under, and returns whether it was recorded. */
  boolean remove(int number) {
    boolean announced = announcedRun == number;
    if (announced) {
      announcedRun = 0;
    }
    boolean recorded = lostRuns.removeIf(lost -> lost.number() == number) || announced;
    if (recorded && countLostBefore(number) >= CrashPolicy.LOSSES_BEFORE_LAST_STARTS) {
      lateStarts++;
    }
    return recorded;
  }

  private long countLostBefore(int number) {
    return lostRuns.stream().filter(lost -> lost.isSeen() && lost.number() < number).count();
  }

  /** Returns how many runs were started after three lost ones and were not lost. */
  int lateStarts() {
    return lateStarts;
  }

  /** Records that the worker of a run has crashed, or is presumed to. */
  void settle(Predicate<LostRun> crashed) {
    lostRuns.replaceAll(lost -> crashed.test(lost) ? lost.asSettled() : lost);
  }

  /**
   * Announces a run. A run that an earlier owner announced, that no worker has and whose end none
   * has listed, may have been started if a worker was lost meanwhile. It is no evidence of a crash:
   * most such runs were never ordered.
   *
   * @return false if it was announced before
   */
  boolean announce(int number, boolean workerLostSinceTakeover, long now) {
    if (announcedRun == number) {
      return false;
    }
    if (announcedByEarlierOwner && workerLostSinceTakeover) {
      lostRuns.add(restored(announcedRun, LostRun.Kind.UNSEEN, 0, now));
    }
    announcedRun = number;
    announcementDurable = false;
    announcedByEarlierOwner = false;
    return true;
  }

  void markAnnouncementDurable(int number) {
    announcementDurable |= announcedRun == number;
  }

  boolean isAnnounced(int number) {
    return announcedRun == number && announcementDurable;
  }

  /** Returns whether a run that a worker has reported was announced by an earlier owner. */
  boolean adopt(int number) {
    if (announcedRun != number) {
      return false;
    }
    announcedByEarlierOwner = false;
    return true;
  }

  /** Returns whether both tasks lost their last run with the same worker. */
  boolean sharesLastLoss(CrashHistory other) {
    return other != null && lastLostWorker != null && lastLostWorker.equals(other.lastLostWorker);
  }

  /** Returns the numbers of the lost runs, as text for operators. */
  String summary() {
    return "alone "
        + numbers(LostRun.Kind.ALONE)
        + ", beside others "
        + numbers(LostRun.Kind.BESIDE_OTHERS)
        + ", unseen "
        + numbers(LostRun.Kind.UNSEEN)
        + ", "
        + decibans()
        + " decibans";
  }

  CrashRecord toRecord() {
    return new CrashRecord(
        numbers(LostRun.Kind.BESIDE_OTHERS),
        numbers(LostRun.Kind.ALONE),
        numbers(LostRun.Kind.UNSEEN),
        announcedRun,
        lateStarts,
        weights());
  }

  private Map<Integer, Integer> weights() {
    Map<Integer, Integer> weights = new HashMap<>();
    for (LostRun lost : lostRuns) {
      if (lost.isSeen()) {
        weights.put(lost.number(), lost.decibans());
      }
    }
    return weights;
  }

  private List<Integer> numbers(LostRun.Kind kind) {
    return lostRuns.stream().filter(lost -> lost.kind() == kind).map(LostRun::number).toList();
  }

  static CrashHistory restore(CrashRecord crashRecord, long now) {
    CrashHistory history = new CrashHistory();
    history.restore(crashRecord, crashRecord.lostBeside(), LostRun.Kind.BESIDE_OTHERS, now);
    history.restore(crashRecord, crashRecord.lostAlone(), LostRun.Kind.ALONE, now);
    for (int number : crashRecord.lostUnseen()) {
      history.lostRuns.add(restored(number, LostRun.Kind.UNSEEN, 0, now));
    }
    history.announcedRun = crashRecord.announcedRun();
    history.lateStarts = crashRecord.lateStarts();
    history.announcedByEarlierOwner = crashRecord.announcedRun() > 0;
    return history;
  }

  private void restore(
      CrashRecord crashRecord, List<Integer> numbers, LostRun.Kind kind, long now) {
    for (int number : numbers) {
      int decibans = crashRecord.decibans().getOrDefault(number, LostRun.UNKNOWN_DECIBANS);
      lostRuns.add(restored(number, kind, decibans, now));
    }
  }

  private static LostRun restored(int number, LostRun.Kind kind, int decibans, long now) {
    return new LostRun(number, kind, now, LostRun.UNKNOWN_MILLIS, decibans, true);
  }
}
