package org.hickorypier.core.model;

/**
 * The identity of one start of one task on a worker.
 *
 * <p>Immutable. A retry is a new attempt with a new id, so a worker that sees the same id twice
 * sees a repeated order and not new work.
 *
 * @param key the work that the task belongs to
 * @param attempt counts the attempts of the work, from 1
 * @param index the task's place among the tasks of the work, from 0
 */
public record TaskId(WorkKey key, int attempt, int index) {

  private static final char SEPARATOR = '~';

  /**
   * Returns the text form used toward workers, {@code team~requestId~attempt~index}.
   *
   * @return the text form
   */
  public String text() {
    return key.team() + SEPARATOR + key.requestId() + SEPARATOR + attempt + SEPARATOR + index;
  }

  /**
   * Reads the text form back.
   *
   * @param text the text form
   * @return the id
   * @throws IllegalArgumentException if the text is not such a form
   */
  public static TaskId parse(String text) {
    String[] parts = text.split(String.valueOf(SEPARATOR), -1);
    if (parts.length != 4) {
      throw new IllegalArgumentException("not a task id: " + text);
    }
    return new TaskId(
        new WorkKey(parts[0], parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
  }
}
