package org.hickorypier.measure.delivery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One tree over all instances, along which an update travels from wherever it comes up.
 *
 * <p>Immutable.
 *
 * @param neighbours for each instance, those it shares an edge with
 */
record TreeOverlay(List<List<Integer>> neighbours) {

  /**
   * Builds a tree with a bounded number of children.
   *
   * @param order the instances from the root down; the first of them become inner nodes
   * @param instances the number of instances, dead ones included
   * @param children the most children of a node
   */
  static TreeOverlay of(List<Integer> order, int instances, int children) {
    List<List<Integer>> neighbours =
        IntStream.range(0, instances)
            .mapToObj(ignored -> (List<Integer>) new ArrayList<Integer>())
            .collect(Collectors.toList());
    for (int position = 1; position < order.size(); position++) {
      int child = order.get(position);
      int parent = order.get((position - 1) / children);
      neighbours.get(child).add(parent);
      neighbours.get(parent).add(child);
    }
    return new TreeOverlay(neighbours);
  }

  Broadcast broadcast(int source, Health health) {
    Broadcast broadcast = new Broadcast(neighbours.size(), source);
    Queue<Integer> telling = new ArrayDeque<>();
    telling.add(source);
    while (!telling.isEmpty()) {
      int from = telling.remove();
      for (int to : neighbours.get(from)) {
        if (!broadcast.reached(to) && broadcast.copy(from, to) && !health.isDead(to)) {
          telling.add(to);
        }
      }
    }
    return broadcast;
  }
}
