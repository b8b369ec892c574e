package org.hickorypier.core.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickorypier.core.cell.CustomerLimits;

/**
 * One version of the operator's configuration, indexed for routing and authenticating requests.
 *
 * <p>Immutable and thread-safe.
 */
public final class ClusterConfiguration {

  private final long version;
  private final List<CustomerLimits> customers;
  private final Map<String, List<QueueRoute>> routesByHost = new HashMap<>();
  private final Map<String, CustomerLimits> customersByKey = new HashMap<>();

  /**
   * Creates an indexed version.
   *
   * @param version the version's number
   * @param routes the routes of all queues
   * @param access all customers with their keys
   */
  public ClusterConfiguration(long version, List<QueueRoute> routes, List<CustomerAccess> access) {
    this.version = version;
    for (QueueRoute route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    List<CustomerLimits> terms = new ArrayList<>();
    for (CustomerAccess customer : access) {
      terms.add(customer.terms());
      for (String key : customer.keys()) {
        customersByKey.put(key, customer.terms());
      }
    }
    this.customers = List.copyOf(terms);
  }

  /**
   * Returns the version's number.
   *
   * @return the number
   */
  public long version() {
    return version;
  }

  /**
   * Returns the terms of all customers.
   *
   * @return the terms
   */
  public List<CustomerLimits> customers() {
    return customers;
  }

  /**
   * Finds the route of a request, which is the one with the longest matching path prefix.
   *
   * @param host the host name that the caller requested, without a port
   * @param path the path of the request
   * @return the route, or empty if there is none
   */
  public Optional<QueueRoute> route(String host, String path) {
    QueueRoute best = null;
    for (QueueRoute route : routesByHost.getOrDefault(host, List.of())) {
      boolean isLonger = best == null || route.prefix().length() > best.prefix().length();
      if (isLonger && path.startsWith(route.prefix())) {
        best = route;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Finds the customer of a key.
   *
   * @param key the key of the request
   * @return the customer, or empty if the key is not in force
   */
  public Optional<CustomerLimits> customerOf(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }
}
