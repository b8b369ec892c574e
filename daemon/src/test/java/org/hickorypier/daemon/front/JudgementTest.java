package org.hickorypier.daemon.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.core.cluster.CustomerAccess;
import org.hickorypier.core.cluster.QueueRoute;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.junit.jupiter.api.Test;

class JudgementTest {

  private static final ClusterConfiguration CONFIGURATION =
      new ClusterConfiguration(
          4,
          List.of(route("closed", false), route("open", true)),
          List.of(
              new CustomerAccess(
                  new CustomerLimits("customer", 1, Resources.NONE), Set.of("the-key"))));

  private static QueueRoute route(String name, boolean open) {
    return new QueueRoute(
        "host",
        "/" + name + "/",
        open,
        new QueueTerms(name, "service", 0, 1, 1, 0, Optional.empty()));
  }

  private static int status(boolean proven, String path, String authorization) {
    return Judgement.of(CONFIGURATION, proven, "host:80", path, authorization).status();
  }

  @Test
  void keysAndRoutesDecide() {
    assertThat(status(true, "/closed/1", "Bearer the-key")).isZero();
    assertThat(status(true, "/closed/1", "Bearer other")).isEqualTo(401);
    assertThat(status(true, "/closed/1", null)).isEqualTo(401);
    assertThat(status(true, "/none/1", "Bearer the-key")).isEqualTo(404);
    assertThat(status(true, "/open/1", null)).isZero();
  }

  /**
   * The store refuses this instance, and a key is withdrawn meanwhile. Without a proof that is
   * young enough, neither a key nor a missing route may be judged; the caller is told when to come
   * back.
   */
  @Test
  void withoutProofNeitherKeyNorRouteIsJudged() {
    assertThat(status(false, "/closed/1", "Bearer the-key")).isEqualTo(503);
    assertThat(status(false, "/closed/1", "Bearer other")).isEqualTo(503);
    assertThat(status(false, "/none/1", "Bearer the-key")).isEqualTo(503);
    assertThat(status(false, "/open/1", null)).isZero();
  }

  @Test
  void beforeTheFirstConfigurationNothingIsJudged() {
    assertThat(Judgement.of(null, false, "host", "/closed/1", null).status()).isEqualTo(503);
  }
}
