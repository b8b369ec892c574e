package org.hickorypier.standins.worker;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hickorypier.platform.worker.TaskState;

/**
 * What a worker recorded of one start.
 *
 * <p>Immutable.
 *
 * @param taskId the task's id
 * @param workKey the work it belongs to, the same for every attempt of it
 * @param owner who ordered the start
 * @param token the control token of the order
 * @param startMillis when it started, on the worker's clock
 * @param endMillis when it ended, or -1 while it runs
 * @param state how it ended, or {@code RUNNING}
 * @param milliProcessors reserved processors, in thousandths
 * @param memoryMebibytes reserved memory in MiB
 * @param accelerators reserved accelerators
 */
public record TaskHistory(
    String taskId,
    String workKey,
    String owner,
    long token,
    long startMillis,
    long endMillis,
    TaskState state,
    long milliProcessors,
    long memoryMebibytes,
    int accelerators) {

  private static final String SEPARATOR = "~";
  private static final int TASK_ID_PARTS = 4;
  private static final Pattern JOURNALED = Pattern.compile("(.*)@(-?\\d+)\\.\\d+");
  private static final String GANG = "-1";

  /**
   * Returns the task of the work that a task id belongs to, whatever its attempt. The forms are
   * {@code team~request~attempt~index} and, for journaled work, {@code
   * team~request@index.attempt~1~0}; a gang has the index -1 and each task's own at the end.
   *
   * @param taskId the task's id
   * @return team, request and index; the whole id if it has another form
   */
  public static String workKey(String taskId) {
    String[] parts = taskId.split(SEPARATOR, -1);
    if (parts.length != TASK_ID_PARTS) {
      return taskId;
    }
    Matcher journaled = JOURNALED.matcher(parts[1]);
    if (!journaled.matches()) {
      return parts[0] + SEPARATOR + parts[1] + SEPARATOR + parts[3];
    }
    String index = journaled.group(2).equals(GANG) ? parts[3] : journaled.group(2);
    return parts[0] + SEPARATOR + journaled.group(1) + SEPARATOR + index;
  }

  /**
   * Tells whether this run and another were under way at the same moment.
   *
   * @param other the other run
   * @return true if neither ended before the other started
   */
  public boolean overlaps(TaskHistory other) {
    return startMillis < other.endOrNever() && other.startMillis < endOrNever();
  }

  /**
   * Tells whether this run was under way at a moment. In the millisecond of its end it was not: the
   * order of what happens within one is not known.
   *
   * @param moment the moment, by the workers' common clock, in milliseconds
   * @return true if so
   */
  public boolean runsAt(long moment) {
    return startMillis <= moment && moment < endOrNever();
  }

  private long endOrNever() {
    return endMillis < 0 ? Long.MAX_VALUE : endMillis;
  }
}
