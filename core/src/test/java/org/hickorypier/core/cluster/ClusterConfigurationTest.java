package org.hickorypier.core.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.junit.jupiter.api.Test;

class ClusterConfigurationTest {

  private static final CustomerLimits CUSTOMER = new CustomerLimits("customer", 5, Resources.NONE);
  private static final CustomerAccess ACCESS =
      new CustomerAccess(CUSTOMER, Set.of("key-1", "key-2"));
  private static final ClusterConfiguration CONFIGURATION =
      new ClusterConfiguration(
          7, List.of(route("short", "/a/"), route("long", "/a/b/")), List.of(ACCESS));

  private static QueueRoute route(String name, String prefix) {
    QueueTerms terms = new QueueTerms(name, "service", 0, 1, 1, 0, Optional.empty());
    return new QueueRoute("host", prefix, false, terms);
  }

  @Test
  void longestPrefixSelectsTheRoute() {
    assertThat(CONFIGURATION.route("host", "/a/b/1").orElseThrow().terms().name())
        .isEqualTo("long");
    assertThat(CONFIGURATION.route("host", "/a/1").orElseThrow().terms().name()).isEqualTo("short");
    assertThat(CONFIGURATION.route("host", "/c/1")).isEmpty();
    assertThat(CONFIGURATION.route("other", "/a/1")).isEmpty();
  }

  @Test
  void findsCustomerByKey() {
    assertThat(CONFIGURATION.customerOf("key-2")).contains(CUSTOMER);
    assertThat(CONFIGURATION.customerOf("key-3")).isEmpty();
  }

  // Guards against keys in a log, which would get there if a customer is logged.
  @Test
  void toStringOmitsKeys() {
    assertThat(ACCESS.toString()).doesNotContain("key-1").contains("2 keys");
  }
}
