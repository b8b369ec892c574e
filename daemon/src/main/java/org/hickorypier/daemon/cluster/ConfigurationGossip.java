package org.hickorypier.daemon.cluster;

import org.hickorypier.daemon.configuration.ConfigurationService;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerListener;
import org.hickorypier.daemon.peer.PeerNetwork;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.ConfigurationPush;
import org.hickorypier.wire.message.PeerMessage.Digest;

/**
 * Sends configuration records to peers that lag behind.
 *
 * <p>Confined to the control thread. The service prevents a withdrawn key from remaining valid at
 * an instance that has lost its connection to the log. The instance's digest tells each peer its
 * configuration offset, and the peers send the records that it lacks. While every instance reads
 * the log itself, nothing is sent. A record that arrives twice, from the log and from a peer, is
 * applied once.
 */
public final class ConfigurationGossip implements PeerListener {

  private final PeerNetwork network;
  private final ConfigurationService configuration;

  /**
   * Creates the gossip service.
   *
   * @param network the links to the peers
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
