package org.hickorypier.wire.record;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A record of the permits stream: how many tasks of a team each instance may run.
 *
 * <p>Immutable. A holder is an instance with its incarnation. Its records carry a sequence number
 * that rises over all teams, so a repeated record is known without a memory of ids.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = PermitRecord.Limit.class, name = "limit"),
  @JsonSubTypes.Type(value = PermitRecord.Hold.class, name = "hold"),
  @JsonSubTypes.Type(value = PermitRecord.Adopt.class, name = "adopt"),
  @JsonSubTypes.Type(value = PermitRecord.Fence.class, name = "fence"),
  @JsonSubTypes.Type(value = PermitRecord.Retire.class, name = "retire"),
  @JsonSubTypes.Type(value = PermitRecord.Snapshot.class, name = "snapshot"),
})
public sealed interface PermitRecord {

  /**
   * Returns the id under which the record is found when it is read back. It is not on the wire: the
   * other components give it.
   *
   * @return the id
   */
  String recordId();

  /**
   * Says the upper limit of a team, as the configuration has it.
   *
   * @param team the team
   * @param revision the team's revision in the configuration
   * @param limit its upper limit
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Limit(String team, long revision, int limit) implements PermitRecord {

    @Override
    public String recordId() {
      return "limit/" + team + "/" + revision;
    }
  }

  /**
   * Asks that a holder hold so many permits of a team.
   *
   * @param instance the holder's instance
   * @param incarnation its incarnation
   * @param sequence rises with each record of the holder
   * @param team the team
   * @param count the number of permits asked for
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Hold(String instance, long incarnation, long sequence, String team, int count)
      implements PermitRecord {

    @Override
    public String recordId() {
      return "hold/" + instance + "#" + incarnation + "/" + sequence;
    }
  }

  /**
   * Says that a worker has a new controller, and moves the permits of the tasks that it adopts
   * there from owners that are fenced off. Appended after each grant of control, with no tasks if
   * there are none, and again when an owner of tasks there has been fenced off later.
   *
   * @param instance the controller's instance
   * @param incarnation its incarnation
   * @param sequence rises with each record of the holder
   * @param worker the worker
   * @param token the control token that the worker granted
   * @param tasks the tasks adopted
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Adopt(
      String instance,
      long incarnation,
      long sequence,
      String worker,
      long token,
      List<AdoptedTasks> tasks)
      implements PermitRecord {

    @Override
    public String recordId() {
      return "adopt/" + instance + "#" + incarnation + "/" + sequence;
    }
  }

  /**
   * All running tasks of one team and one owner on a worker.
   *
   * @param team the team
   * @param ownerInstance the instance that started them
   * @param ownerIncarnation its incarnation
   * @param count the number of tasks
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record AdoptedTasks(String team, String ownerInstance, long ownerIncarnation, int count) {}

  /**
   * Fences a holder off that is gone and controls no worker: it gets no more permits and speaks for
   * no worker any more. It keeps what it holds, for its running tasks.
   *
   * @param instance the instance that is gone
   * @param incarnation its incarnation
   * @param sequence its last sequence number, as folded by the sender; if it has appended anything
   *     since, it is not gone
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Fence(String instance, long incarnation, long sequence) implements PermitRecord {

    @Override
    public String recordId() {
      return "fence/" + instance + "#" + incarnation + "/" + sequence;
    }
  }

  /**
   * Frees all permits of a holder that is fenced off and whose permits cover no task any more.
   *
   * @param instance the instance that is gone
   * @param incarnation its incarnation
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Retire(String instance, long incarnation) implements PermitRecord {

    @Override
    public String recordId() {
      return "retire/" + instance + "#" + incarnation;
    }
  }

  /**
   * All permits as folded up to an offset.
   *
   * @param id the id of the record
   * @param upTo the last offset that went into it
   * @param teams limits and holds
   * @param holders the last sequence number of each holder
   * @param fenced the incarnations that were fenced off
   * @param workers who spoke for each worker last, and who adopted what there
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Snapshot(
      String id,
      long upTo,
      List<TeamEntry> teams,
      List<HolderEntry> holders,
      List<HolderEntry> fenced,
      List<WorkerEntry> workers)
      implements PermitRecord {

    @Override
    public String recordId() {
      return "snapshot/" + id;
    }
  }

  /**
   * In a snapshot: a team.
   *
   * @param team the team
   * @param revision its revision in the configuration
   * @param limit its upper limit
   * @param holds the holds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record TeamEntry(String team, long revision, int limit, List<HoldEntry> holds) {}

  /**
   * In a snapshot: a hold.
   *
   * @param instance the holder's instance
   * @param incarnation its incarnation
   * @param count the number of permits
   * @param raisedAt the offset of the record that last raised it
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record HoldEntry(String instance, long incarnation, int count, long raisedAt) {}

  /**
   * In a snapshot: a holder, or an instance of which an incarnation was fenced off.
   *
   * @param instance the instance
   * @param incarnation its incarnation
   * @param sequence its last sequence number, 0 if fenced off
   * @param offset the offset of the record that said so
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record HolderEntry(String instance, long incarnation, long sequence, long offset) {}

  /**
   * In a snapshot: a worker.
   *
   * @param worker the worker
   * @param token the highest control token spoken under
   * @param instance the instance that spoke
   * @param incarnation its incarnation
   * @param offset the offset of its record
   * @param adoptions who adopted the tasks of which owner
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record WorkerEntry(
      String worker,
      long token,
      String instance,
      long incarnation,
      long offset,
      List<AdoptionEntry> adoptions) {}

  /**
   * In a snapshot: the tasks of one owner on a worker.
   *
   * @param ownerInstance the instance that started them
   * @param ownerIncarnation its incarnation
   * @param adopterInstance the instance that holds their permits
   * @param adopterIncarnation its incarnation
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record AdoptionEntry(
      String ownerInstance,
      long ownerIncarnation,
      String adopterInstance,
      long adopterIncarnation) {}
}
