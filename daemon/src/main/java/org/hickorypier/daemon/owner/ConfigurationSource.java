package org.hickorypier.daemon.owner;

import org.hickorypier.core.cluster.ClusterConfiguration;

/** What requests are judged by. May be asked from any thread. */
public interface ConfigurationSource {

  /**
   * Returns the newest configuration known.
   *
   * @return the configuration, or null before the first
   */
  ClusterConfiguration current();

  /**
   * Tells whether it is known to have been the newest a short time ago.
   *
   * @return true while a key that it holds cannot have been withdrawn long ago
   */
  boolean isProven();
}
