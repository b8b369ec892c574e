package org.hickorypier.core.model;

/**
 * Identifies one attempt to run one task on a worker.
 *
 * <p>Immutable. A retry is a new attempt with a new id, so a worker that receives the same id twice
 * received a repeated order and no new work.
 *
 * @param key the work that the task belongs to
 * @param attempt number of the attempt to run the work, from 1
 * @param index index of the task among the tasks of the work, from 0
 */
public record TaskId(WorkKey key, int attempt, int index) {

  private static final char SEPARATOR = '~';

  /**
   * Returns the text form used in requests to workers, {@code team~requestId~attempt~index}.
   *
   * @return the text form
   */
  public String text() {
    return key.team() + SEPARATOR + key.requestId() + SEPARATOR + attempt + SEPARATOR + index;
  }

  /**
   * Parses the text form.
   *
   * @param text the text form
   * @return the id
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static TaskId parse(String text) {
    String[] parts = text.split(String.valueOf(SEPARATOR), -1);
    if (parts.length != 4) {
      throw new IllegalArgumentException("invalid task id: " + text);
    }
    return new TaskId(
        new WorkKey(parts[0], parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
  }
}
