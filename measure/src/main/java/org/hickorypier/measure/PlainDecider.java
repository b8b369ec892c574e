package org.hickorypier.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.core.scheduling.PlacedTask;

/**
 * The plain baseline: first come, first served, first fit, and no admission control. All tasks of
 * an item wait for the head of the one queue.
 *
 * <p>Not thread safe.
 */
final class PlainDecider implements Decider {

  private static final class Room {
    private final WorkerDescription worker;
    private Resources free;
    private int freeSlots;

    private Room(WorkerDescription worker) {
      this.worker = worker;
      free = worker.capacity();
      freeSlots = worker.slots();
    }
  }

  private record Running(Room room, Resources reserved) {}

  private final List<Room> rooms = new ArrayList<>();
  private final Deque<WorkItem> queue = new ArrayDeque<>();
  private final Map<TaskId, Running> running = new HashMap<>();
  private int headTasksStarted;

  PlainDecider(List<WorkerDescription> workers) {
    workers.forEach(worker -> rooms.add(new Room(worker)));
  }

  @Override
  public boolean submit(WorkItem item, long now) {
    queue.add(item);
    return true;
  }

  @Override
  public List<PlacedTask> place(long now) {
    List<PlacedTask> placed = new ArrayList<>();
    while (!queue.isEmpty()) {
      WorkItem head = queue.peek();
      Room room = firstFit(head.resources());
      if (room == null) {
        break;
      }
      TaskId id = new TaskId(head.key(), 1, headTasksStarted);
      room.free = room.free.minus(head.resources());
      room.freeSlots--;
      running.put(id, new Running(room, head.resources()));
      placed.add(new PlacedTask(id, room.worker.name(), head.workClass(), head.resources()));
      headTasksStarted++;
      if (headTasksStarted == head.tasks()) {
        queue.remove();
        headTasksStarted = 0;
      }
    }
    return placed;
  }

  @Override
  public void ended(TaskId taskId, long now) {
    Running ended = running.remove(taskId);
    ended.room().free = ended.room().free.plus(ended.reserved());
    ended.room().freeSlots++;
  }

  @Override
  public int expire(long now) {
    return 0;
  }

  private Room firstFit(Resources need) {
    for (Room room : rooms) {
      if (room.freeSlots > 0 && need.fitsInto(room.free)) {
        return room;
      }
    }
    return null;
  }
}
