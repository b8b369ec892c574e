package org.hickorypier.core.journal;

import java.util.Optional;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkKey;

/**
 * The key by which the scheduling decisions identify one attempt of a task of journaled work.
 *
 * <p>Immutable. Each attempt has its own key, so a worker cannot mistake an attempt by a new home
 * for a repeated order of an earlier attempt. The separator is not allowed in request ids of
 * callers.
 *
 * @param work the work
 * @param index the task's index, or {@link #WHOLE_GANG}
 * @param attempt the attempt's number
 */
public record AttemptKey(WorkKey work, int index, int attempt) {

  /** The index that denotes all tasks of a gang, which are attempted together. */
  public static final int WHOLE_GANG = -1;

  private static final char SEPARATOR = '@';
  private static final char NUMBER_SEPARATOR = '.';

  /**
   * Returns the key of this attempt for the scheduling decisions.
   *
   * @return the key
   */
  public WorkKey workKey() {
    return new WorkKey(
        work.team(), work.requestId() + SEPARATOR + index + NUMBER_SEPARATOR + attempt);
  }

  /**
   * Returns the id under which a worker knows the task of this attempt.
   *
   * @param taskIndex the task's index within the work
   * @return the task's id
   */
  public TaskId taskId(int taskIndex) {
    return new TaskId(workKey(), 1, index == WHOLE_GANG ? taskIndex : 0);
  }

  /**
   * Returns the key of the work that an attempt belongs to.
   *
   * @param key the key in the scheduling decisions
   * @return the work of the attempt, or the key itself if the work is not journaled
   */
  public static WorkKey workOf(WorkKey key) {
    return parse(key).map(AttemptKey::work).orElse(key);
  }

  /**
   * Parses the key of an attempt.
   *
   * @param key the key in the scheduling decisions
   * @return the attempt, or empty if the key is not that of journaled work
   */
  public static Optional<AttemptKey> parse(WorkKey key) {
    String text = key.requestId();
    int separator = text.lastIndexOf(SEPARATOR);
    int number = text.lastIndexOf(NUMBER_SEPARATOR);
    if (separator < 0 || number < separator) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new AttemptKey(
              new WorkKey(key.team(), text.substring(0, separator)),
              Integer.parseInt(text.substring(separator + 1, number)),
              Integer.parseInt(text.substring(number + 1))));
    } catch (NumberFormatException error) {
      return Optional.empty();
    }
  }
}
