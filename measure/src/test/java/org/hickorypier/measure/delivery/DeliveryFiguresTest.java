package org.hickorypier.measure.delivery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeliveryFiguresTest {

  @ParameterizedTest
  @ValueSource(ints = {8, 16, 60})
  void meshReachesEverybodyInOneHop(int instances) {
    DeliveryFigures mesh = DeliveryFigures.of(new FullMesh(instances), instances);

    assertThat(mesh.hops()).isEqualTo(1);
    assertThat(mesh.sentMean()).isEqualTo(instances - 1);
    assertThat(mesh.receivedMean()).isEqualTo(instances - 1);
    assertThat(mesh.staleSeconds()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {8, 16, 60})
  void treesReachEverybodyAndAnInnerNodeServesOneStripeOnly(int instances) {
    DeliveryFigures tree = DeliveryFigures.of(new StripedTrees(instances, 4, 1, 1), instances);
    DeliveryFigures striped = DeliveryFigures.of(new StripedTrees(instances, 4, 4, 1), instances);
    DeliveryFigures doubled = DeliveryFigures.of(new StripedTrees(instances, 4, 4, 2), instances);

    assertThat(tree.unreachedPerMillion()).isZero();
    assertThat(striped.unreachedPerMillion()).isZero();
    assertThat(striped.receivedMean()).isEqualTo(instances - 1);
    assertThat(striped.sentWorst()).isLessThan(tree.sentWorst());
    assertThat(striped.staleSeconds()).isLessThan(tree.staleSeconds());
    assertThat(doubled.staleSeconds()).isEqualTo(1);
  }
}
