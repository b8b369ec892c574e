package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkClass;

/**
 * The task sizes of the queued work, and which of them currently fit on no worker.
 *
 * <p>Invariant: a shape that is marked blocked is in the list of blocked shapes, so {@link
 * #unblock} always finds it. Confined to the control thread.
 */
final class ShapeTable {

  /** Shapes kept before unused ones are dropped; far more than the teams of a fleet declare. */
  private static final int UNUSED_SHAPES_LIMIT = 2_048;

  private record Size(Resources resources, boolean urgent) {}

  private final Map<Size, Shape> shapes = new HashMap<>();
  private final UrgentReserve urgentReserve;
  private final List<Shape> blocked = new ArrayList<>();
  private int sweepThresholdShapes = UNUSED_SHAPES_LIMIT;

  ShapeTable(UrgentReserve urgentReserve) {
    this.urgentReserve = urgentReserve;
  }

  Shape intern(Resources resources, WorkClass workClass) {
    if (shapes.size() > sweepThresholdShapes) {
      dropUnused();
    }
    return shapes.computeIfAbsent(
        size(resources, workClass), size -> new Shape(size.resources(), size.urgent()));
  }

  /** Returns whether this size is known to fit on no worker. */
  boolean isBlocked(Resources resources, WorkClass workClass) {
    Shape shape = shapes.get(size(resources, workClass));
    return shape != null && shape.isBlocked();
  }

  void block(Shape shape) {
    if (!shape.isBlocked()) {
      shape.setBlocked(true);
      blocked.add(shape);
    }
  }

  /**
   * Unblocks the shapes that fit on a worker.
   *
   * @param worker a worker with more free resources than before
   * @return true if any shape was unblocked
   */
  boolean unblock(WorkerState worker) {
    boolean unblockedAny = false;
    for (int i = blocked.size() - 1; i >= 0; i--) {
      Shape shape = blocked.get(i);
      boolean fits = worker.hasRoomFor(shape.resources());
      if (fits && (shape.isUrgent() || urgentReserve.admits(worker, shape.resources()))) {
        shape.setBlocked(false);
        blocked.set(i, blocked.get(blocked.size() - 1));
        blocked.remove(blocked.size() - 1);
        unblockedAny = true;
      }
    }
    return unblockedAny;
  }

  private static Size size(Resources resources, WorkClass workClass) {
    return new Size(resources, workClass == WorkClass.URGENT);
  }

  private void dropUnused() {
    shapes.values().removeIf(Shape::isUnused);
    blocked.removeIf(Shape::isUnused);
    sweepThresholdShapes = Math.max(UNUSED_SHAPES_LIMIT, 2 * shapes.size());
  }
}
