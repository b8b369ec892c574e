package org.hickorypier.daemon.owner;

import org.hickorypier.core.cluster.ClusterConfiguration;

/** Provides the configuration that requests are checked against. Thread-safe. */
public interface ConfigurationSource {

  /**
   * Returns the newest known configuration.
   *
   * @return the configuration, or null before the first one is read
   */
  ClusterConfiguration current();

  /**
   * Returns whether the configuration is proven to have been the newest a short time ago.
   *
   * @return true while no key in it can have been withdrawn long ago
   */
  boolean isProven();
}
