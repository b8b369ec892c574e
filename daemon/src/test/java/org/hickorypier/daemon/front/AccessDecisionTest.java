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

class AccessDecisionTest {

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
    return AccessDecision.decide(CONFIGURATION, proven, "host:80", path, authorization).status();
  }

  @Test
  void statusDependsOnKeyAndRoute() {
    assertThat(status(true, "/closed/1", "Bearer the-key")).isZero();
    assertThat(status(true, "/closed/1", "Bearer other")).isEqualTo(401);
    assertThat(status(true, "/closed/1", null)).isEqualTo(401);
    assertThat(status(true, "/none/1", "Bearer the-key")).isEqualTo(404);
    assertThat(status(true, "/open/1", null)).isZero();
  }

  /**
   * Guards against decisions by an outdated configuration, for instance a key that is withdrawn
   * while the store refuses this instance. Without a recent proof neither a key nor a missing route
   * is decided; the caller gets 503 and retries later.
   */
  @Test
  void withoutProofKeysAndMissingRoutesAreNotDecided() {
    assertThat(status(false, "/closed/1", "Bearer the-key")).isEqualTo(503);
    assertThat(status(false, "/closed/1", "Bearer other")).isEqualTo(503);
    assertThat(status(false, "/none/1", "Bearer the-key")).isEqualTo(503);
    assertThat(status(false, "/open/1", null)).isZero();
  }

  @Test
  void requestIsRefusedBeforeTheFirstConfiguration() {
    assertThat(AccessDecision.decide(null, false, "host", "/closed/1", null).status())
        .isEqualTo(503);
  }
}
