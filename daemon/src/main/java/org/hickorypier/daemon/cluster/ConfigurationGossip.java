package org.hickorypier.daemon.cluster;

import org.hickorypier.daemon.configuration.ConfigurationService;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerListener;
import org.hickorypier.daemon.peer.PeerNetwork;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.ConfigurationPush;
import org.hickorypier.wire.message.PeerMessage.Digest;

/**
 * Passes records of the configuration on to peers that lag behind.
 *
 * <p>Belongs to the control thread. Failure: an instance is cut off from the log, and a key
 * withdrawn meanwhile goes on working there. Its digest tells each peer how far it is, and the
 * peers send what it lacks. In ordinary times every instance reads the log itself and nothing is
 * sent. A record taken twice, from the log and from a peer, folds once.
 */
public final class ConfigurationGossip implements PeerListener {

  private final PeerNetwork network;
  private final ConfigurationService configuration;

  /**
   * Creates the gossip.
   *
   * @param network the links
   * @param configuration the configuration in force here
   */
  public ConfigurationGossip(PeerNetwork network, ConfigurationService configuration) {
    this.network = network;
    this.configuration = configuration;
  }

  @Override
  public void message(PeerIdentity peer, PeerMessage message) {
    if (message instanceof Digest digest) {
      configuration
          .lackedBy(digest.configurationOffset())
          .forEach(push -> network.tell(peer.name(), push));
    } else if (message instanceof ConfigurationPush push) {
      configuration.onPush(push);
    }
  }
}
