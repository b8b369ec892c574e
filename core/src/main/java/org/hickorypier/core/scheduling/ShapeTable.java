package org.hickorypier.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.model.Resources;

/**
 * The sizes of the queued work, and which of them fit nowhere now.
 *
 * <p>Invariant: a shape that is marked blocked is in the list of blocked shapes, so freed room
 * always finds it. Not thread safe.
 */
final class ShapeTable {

  /**
   * Sizes kept before unused ones are dropped; far above the sizes that a fleet's teams declare.
   */
  private static final int UNUSED_SHAPES_LIMIT = 2_048;

  private final Map<Resources, Shape> shapes = new HashMap<>();
  private final List<Shape> blocked = new ArrayList<>();
  private int sweepAt = UNUSED_SHAPES_LIMIT;

  Shape intern(Resources resources) {
    if (shapes.size() > sweepAt) {
      dropUnused();
    }
    return shapes.computeIfAbsent(resources, Shape::new);
  }

  /** Tells whether this size is known to fit nowhere now. */
  boolean isBlocked(Resources resources) {
    Shape shape = shapes.get(resources);
    return shape != null && shape.isBlocked();
  }

  void block(Shape shape) {
    if (!shape.isBlocked()) {
      shape.setBlocked(true);
      blocked.add(shape);
    }
  }

  /**
   * Unblocks the shapes that fit a worker's room.
   *
   * @param worker a worker with more room than before
   * @return true if any shape was unblocked
   */
  boolean unblock(WorkerState worker) {
    boolean any = false;
    for (int i = blocked.size() - 1; i >= 0; i--) {
      Shape shape = blocked.get(i);
      if (worker.hasRoomFor(shape.resources())) {
        shape.setBlocked(false);
        blocked.set(i, blocked.get(blocked.size() - 1));
        blocked.remove(blocked.size() - 1);
        any = true;
      }
    }
    return any;
  }

  private void dropUnused() {
    shapes.values().removeIf(Shape::isUnused);
    blocked.removeIf(Shape::isUnused);
    sweepAt = Math.max(UNUSED_SHAPES_LIMIT, 2 * shapes.size());
  }
}
