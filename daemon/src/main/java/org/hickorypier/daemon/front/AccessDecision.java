package org.hickorypier.daemon.front;

import org.hickorypier.core.cell.CustomerLimits;
import org.hickorypier.core.cluster.ClusterConfiguration;
import org.hickorypier.core.cluster.QueueRoute;

/**
 * The routing and access decision for a request, by the configuration. Immutable.
 *
 * @param status 0 if the request is allowed, otherwise the HTTP status of its answer
 * @param reason why the request is refused, or empty
 * @param route the route to its queue, or null if the request is refused
 * @param customer the customer whose key was sent, or empty on a public queue
 * @param version the version of the configuration on which the decision is based
 */
record AccessDecision(int status, String reason, QueueRoute route, String customer, long version) {

  private static final String BEARER = "Bearer ";
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  /**
   * Decides whether a request is allowed, and for which queue and customer.
   *
   * @param configuration the newest known configuration, or null
   * @param proven whether it is known to have been the newest a short time ago; otherwise a key may
   *     have been withdrawn, or a route added or removed, in the meantime
   * @param host the value of the {@code Host} header
   * @param path the path of the request
   * @param authorization the value of the {@code Authorization} header, or null
   */
  static AccessDecision decide(
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
      return new AccessDecision(0, "", route, "", version);
    }
    if (authorization == null || !authorization.startsWith(BEARER)) {
      return refused(UNAUTHORIZED, "no key", version);
    }
    CustomerLimits customer =
        configuration.customerOf(authorization.substring(BEARER.length()).trim()).orElse(null);
    return customer == null
        ? refused(UNAUTHORIZED, "unknown key", version)
        : new AccessDecision(0, "", route, customer.name(), version);
  }

  boolean isAllowed() {
    return status == 0;
  }

  private static AccessDecision refused(int status, String reason, long version) {
    return new AccessDecision(status, reason, null, "", version);
  }

  private static String withoutPort(String host) {
    int colon = host.indexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }
}
