package org.hickorypier.daemon.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests evacuations of data centres end to end over the stand-ins. */
class EvacuationTest {

  private static final String FIRST = "5c0e7a21d94b36f1";
  private static final String SECOND = "5c0e7a21d94b36f2";

  @Test
  void nothingStartsInDataCentreUntilItsEvacuationIsWithdrawn() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      SmallCluster.Instance owner = cluster.start();
      evacuate(cluster, owner, 0);
      assertThat(cluster.submit(owner, FIRST, 20).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(owner, FIRST).equals("completed"));
      assertThat(cluster.workers.get(0).history()).isEmpty();
      evacuate(cluster, owner, 1);
      cluster.operator.withdrawEvacuation(SmallCluster.dataCentre(0));
      cluster.waitUntil(() -> cluster.hasLogged(owner, "evacuation-ended"));
      assertThat(cluster.submit(owner, SECOND, 20).status()).isEqualTo(200);
      cluster.waitUntil(() -> cluster.state(owner, SECOND).equals("completed"));
      assertThat(cluster.workers.get(0).history()).hasSize(20);
    }
  }

  /**
   * Guards against a successor that starts tasks in a data centre before it has read the request,
   * and against a request that counts as withdrawn since the store has dropped its history.
   */
  @Test
  void successorObservesEvacuationWhoseHistoryIsGone() throws Exception {
    try (SmallCluster cluster = new SmallCluster(2, 50)) {
      final SmallCluster.Instance owner = cluster.start();
      evacuate(cluster, owner, 0);
      cluster.store.forgetHistory();
      SmallCluster.Instance successor = cluster.start();
      cluster.kill(owner);
      cluster.waitUntil(() -> cluster.hasLogged(successor, "owner-gained"));
      cluster.waitUntil(() -> cluster.submit(successor, FIRST, 20).status() == 200);
      cluster.waitUntil(() -> cluster.state(successor, FIRST).equals("completed"));
      assertThat(cluster.workers.get(0).history()).isEmpty();
    }
  }

  private static void evacuate(SmallCluster cluster, SmallCluster.Instance owner, int worker)
      throws Exception {
    String dataCentre = SmallCluster.dataCentre(worker);
    cluster.operator.evacuate(dataCentre);
    cluster.waitUntil(
        () -> cluster.hasLogged(owner, "evacuation-began [data_centre, " + dataCentre));
  }
}
