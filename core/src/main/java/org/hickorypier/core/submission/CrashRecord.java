package org.hickorypier.core.submission;

import java.util.List;
import java.util.Map;

/**
 * Durable account of the runs of a task, or of a gang, that were lost with their workers.
 *
 * <p>Immutable.
 *
 * @param lostBeside numbers of the runs that were lost together with other work
 * @param lostAlone numbers of the runs that were lost while nothing else ran on their worker
 * @param lostUnseen numbers of the runs that were announced by an owner that was then lost, and may
 *     have been lost with a worker
 * @param announcedRun number of a run that may have been started since; 0 if there is none
 * @param lateStarts number of runs that were started after three lost ones and were not lost
 * @param decibans how much the loss of each run suggests that the task crashes its workers, by the
 *     number of the run; earlier versions do not record it
 */
public record CrashRecord(
    List<Integer> lostBeside,
    List<Integer> lostAlone,
    List<Integer> lostUnseen,
    int announcedRun,
    int lateStarts,
    Map<Integer, Integer> decibans) {

  /** Copies the collections, so that the record is immutable. */
  public CrashRecord {
    lostBeside = List.copyOf(lostBeside);
    lostAlone = List.copyOf(lostAlone);
    lostUnseen = List.copyOf(lostUnseen);
    decibans = Map.copyOf(decibans);
  }

  /**
   * Creates an account without the weights of the losses, as earlier versions wrote it.
   *
   * @param lostBeside numbers of the runs that were lost together with other work
   * @param lostAlone numbers of the runs that were lost while nothing else ran on their worker
   * @param lostUnseen numbers of the runs that may have been lost unseen
   * @param announcedRun number of a run that may have been started since; 0 if there is none
   * @param lateStarts number of runs that were started after three lost ones and were not lost
   */
  public CrashRecord(
      List<Integer> lostBeside,
      List<Integer> lostAlone,
      List<Integer> lostUnseen,
      int announcedRun,
      int lateStarts) {
    this(lostBeside, lostAlone, lostUnseen, announcedRun, lateStarts, Map.of());
  }

  /**
   * Returns the same account with other weights.
   *
   * @param other the weights, by the number of the run
   * @return the account
   */
  public CrashRecord withDecibans(Map<Integer, Integer> other) {
    return new CrashRecord(lostBeside, lostAlone, lostUnseen, announcedRun, lateStarts, other);
  }
}
