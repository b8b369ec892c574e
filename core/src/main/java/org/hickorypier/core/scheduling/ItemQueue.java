package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;

/**
 * All queued items, indexed by key and ordered by deadline.
 *
 * <p>Mass cancellations stay cheap: a cancellation removes an item from two hash maps. Its entry in
 * the deadline queue is removed later, when it reaches the head or when more than half of the
 * entries belong to removed items.
 *
 * <p>Invariant: an item is in its team's queue if and only if it is in this queue. Not thread-safe.
 */
final class ItemQueue {

  private static final int MIN_COMPACTION_ENTRIES = 1_024;

  private final Map<WorkKey, QueuedItem> items = new LinkedHashMap<>();
  private final PriorityQueue<QueuedItem> byDeadline =
      new PriorityQueue<>(
          Comparator.comparingLong((QueuedItem queued) -> queued.item().deadlineMillis()));
  private final FairOrder order;
  private final ShapeTable shapes;
  private final WorkHistory history;
  private int urgentItems;
  private long nextArrivalNumber;

  ItemQueue(FairOrder order, ShapeTable shapes, WorkHistory history) {
    this.order = order;
    this.shapes = shapes;
    this.history = history;
  }

  QueuedItem get(WorkKey key) {
    return items.get(key);
  }

  boolean hasUrgent() {
    return urgentItems > 0;
  }

  Collection<QueuedItem> all() {
    return items.values();
  }

  void add(WorkItem item, Resources need) {
    int attempt = history.newAttempt(item.key(), item.tasks());
    QueuedItem queued =
        new QueuedItem(item, shapes.intern(need, item.workClass()), attempt, nextArrivalNumber++);
    items.put(item.key(), queued);
    byDeadline.add(queued);
    urgentItems += item.workClass() == WorkClass.URGENT ? 1 : 0;
    TeamState team = order.team(item.key().team());
    order.update(team, () -> team.enqueue(queued));
  }

  void remove(QueuedItem queued, long now) {
    items.remove(queued.item().key());
    urgentItems -= queued.item().workClass() == WorkClass.URGENT ? 1 : 0;
    TeamState team = order.team(queued.item().key().team());
    order.update(team, () -> team.dequeue(queued));
    history.recordDequeue(queued.item().key(), queued.hasStarted(), now);
    compact();
  }

  /**
   * Removes and returns the items that have not started and whose deadline is before the given
   * time.
   */
  List<QueuedItem> removeExpired(long now) {
    List<QueuedItem> expired = new ArrayList<>();
    while (!byDeadline.isEmpty() && byDeadline.peek().item().deadlineMillis() < now) {
      QueuedItem queued = byDeadline.poll();
      if (!queued.isRemoved() && !queued.hasStarted()) {
        remove(queued, now);
        expired.add(queued);
      }
    }
    return expired;
  }

  private void compact() {
    if (byDeadline.size() > MIN_COMPACTION_ENTRIES && byDeadline.size() > 2 * items.size()) {
      byDeadline.removeIf(QueuedItem::isRemoved);
    }
  }
}
