package org.hickorypier.wire.record;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record of the journal: accepted work and its attempts.
 *
 * <p>Immutable. Jobs are journaled, and synchronous requests that are not idempotent.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = JournalRecord.Accepted.class, name = "a"),
  @JsonSubTypes.Type(value = JournalRecord.Attempt.class, name = "t"),
  @JsonSubTypes.Type(value = JournalRecord.AttemptVoid.class, name = "v"),
  @JsonSubTypes.Type(value = JournalRecord.Ended.class, name = "e"),
  @JsonSubTypes.Type(value = JournalRecord.Cancelled.class, name = "c"),
})
public sealed interface JournalRecord {

  /**
   * Returns the id under which the record takes effect once.
   *
   * @return the id
   */
  @JsonIgnore
  String recordId();

  /**
   * Returns the team whose work it is.
   *
   * @return the team's name
   */
  String team();

  /**
   * Returns the id that the caller gave the work.
   *
   * @return the id within the team
   */
  String requestId();

  /**
   * Work has been accepted. The payload must not be changed.
   *
   * @param team the team
   * @param requestId the caller's id
   * @param job whether it is a job; else a synchronous request
   * @param workClass the class name
   * @param name the caller's name for this sort of work
   * @param milliProcessors declared processors of a task, in thousandths
   * @param memoryMebibytes declared memory of a task in MiB
   * @param accelerators declared accelerators of a task
   * @param tasks the number of tasks
   * @param idempotent whether a task may run again after an attempt that failed or was lost
   * @param deadlineMillis the time from acceptance to the latest useful start
   * @param runMillis the declared run time of a task
   * @param payload what the tasks are given
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Accepted(
      String team,
      String requestId,
      boolean job,
      String workClass,
      String name,
      long milliProcessors,
      long memoryMebibytes,
      int accelerators,
      int tasks,
      boolean idempotent,
      long deadlineMillis,
      long runMillis,
      byte[] payload)
      implements JournalRecord {

    @Override
    public String recordId() {
      return "accepted/" + team + "/" + requestId;
    }
  }

  /**
   * An instance is about to order the start of a task.
   *
   * @param team the team
   * @param requestId the caller's id
   * @param index the task, from 0
   * @param attempt counts the attempts of the task, from 1
   * @param owner the instance and incarnation that orders it
   * @param worker the worker
   * @param token the control token that the order carries
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Attempt(
      String team,
      String requestId,
      int index,
      int attempt,
      String owner,
      String worker,
      long token)
      implements JournalRecord {

    @Override
    public String recordId() {
      return "attempt/" + team + "/" + requestId + "/" + index + "/" + attempt + "/" + owner;
    }
  }

  /**
   * An attempt certainly never ran and never will.
   *
   * @param team the team
   * @param requestId the caller's id
   * @param index the task
   * @param attempt the attempt
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record AttemptVoid(String team, String requestId, int index, int attempt)
      implements JournalRecord {

    @Override
    public String recordId() {
      return "void/" + team + "/" + requestId + "/" + index + "/" + attempt;
    }
  }

  /**
   * An attempt has ended, or a task will never be attempted.
   *
   * @param team the team
   * @param requestId the caller's id
   * @param index the task
   * @param attempt the attempt, 0 if the task was never attempted
   * @param outcome the outcome's name: COMPLETED, FAILED, UNKNOWN or NOT_RUN
   * @param detail a sentence for the caller
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Ended(String team, String requestId, int index, int attempt, String outcome, String detail)
      implements JournalRecord {

    @Override
    public String recordId() {
      return "ended/" + team + "/" + requestId + "/" + index + "/" + attempt;
    }
  }

  /**
   * The caller or an operator has cancelled the work. Tasks that run are stopped.
   *
   * @param team the team
   * @param requestId the caller's id
   * @param detail a sentence for the caller
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Cancelled(String team, String requestId, String detail) implements JournalRecord {

    @Override
    public String recordId() {
      return "cancelled/" + team + "/" + requestId;
    }
  }
}
