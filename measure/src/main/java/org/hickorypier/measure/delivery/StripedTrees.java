package org.hickorypier.measure.delivery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Several trees over the same instances; an instance is an inner node in one of them only. Updates
 * take the trees in turn, or some trees at once.
 *
 * <p>Immutable. One stripe is the plain tree of bounded height.
 *
 * @param instances the number of instances
 * @param children the most children of a node
 * @param stripes the number of trees
 * @param copies on how many trees each update travels
 */
record StripedTrees(int instances, int children, int stripes, int copies)
    implements DeliveryScheme {

  @Override
  public String name() {
    if (stripes == 1) {
      return "one-tree";
    }
    return "striped-" + stripes + (copies == 1 ? "-in-turn" : "-" + copies + "-at-once");
  }

  @Override
  public int links() {
    int most = 0;
    for (int instance = 0; instance < instances; instance++) {
      Set<Integer> linked = new HashSet<>();
      for (int stripe = 0; stripe < stripes; stripe++) {
        linked.addAll(tree(stripe, Health.ALL_WELL).neighbours().get(instance));
      }
      most = Math.max(most, linked.size());
    }
    return most;
  }

  @Override
  public Broadcast broadcast(int source, int round, Health health) {
    Broadcast all = new Broadcast(instances, source);
    for (int copy = 0; copy < copies; copy++) {
      all.add(tree((round + copy) % stripes, health).broadcast(source, health));
    }
    return all;
  }

  private TreeOverlay tree(int stripe, Health health) {
    List<Integer> order = new ArrayList<>(IntStream.range(0, instances).boxed().toList());
    order.removeIf(instance -> health.noticed() && health.isDead(instance));
    order.sort(Comparator.comparing(instance -> instance % stripes != stripe));
    return TreeOverlay.of(order, instances, children);
  }
}
