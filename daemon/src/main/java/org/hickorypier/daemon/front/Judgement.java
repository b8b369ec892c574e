package org.hickorypier.daemon.front;

import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.core.cluster.QueueRoute;

/**
 * What the configuration says of a request.
 *
 * <p>Immutable.
 *
 * @param status 0 if the request may go on, otherwise the status of its answer
 * @param reason why it may not go on, or empty
 * @param route its queue, or null
 * @param customer its customer, or empty on a public queue
 * @param version the version of the configuration that decided
 */
record Judgement(int status, String reason, QueueRoute route, String customer, long version) {

  private static final String BEARER = "Bearer ";
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  /**
   * Judges a request.
   *
   * @param configuration the newest configuration known, or null
   * @param proven whether it is known to have been the newest a short time ago; without that, a key
   *     may have been withdrawn, and a route may have come or gone
   * @param host the host that the caller named
   * @param path the path
   * @param authorization the header with the key, or null
   */
  static Judgement of(
      ClusterConfiguration configuration,
      boolean proven,
      String host,
      String path,
      String authorization) {
    if (configuration == null) {
      return refused(UNAVAILABLE, "no configuration yet", 0);
    }
    long version = configuration.version();
    QueueRoute route = configuration.route(withoutPort(host), path).orElse(null);
    if (!proven && (route == null || !route.open())) {
      return refused(UNAVAILABLE, "the configuration may be out of date", version);
    }
    if (route == null) {
      return refused(NOT_FOUND, "no such queue", version);
    }
    if (route.open()) {
      return new Judgement(0, "", route, "", version);
    }
    if (authorization == null || !authorization.startsWith(BEARER)) {
      return refused(UNAUTHORIZED, "no key", version);
    }
    CustomerLimits customer =
        configuration.customerOf(authorization.substring(BEARER.length()).trim()).orElse(null);
    return customer == null
        ? refused(UNAUTHORIZED, "unknown key", version)
        : new Judgement(0, "", route, customer.name(), version);
  }

  boolean mayGoOn() {
    return status == 0;
  }

  private static Judgement refused(int status, String reason, long version) {
    return new Judgement(status, reason, null, "", version);
  }

  private static String withoutPort(String host) {
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }
}
