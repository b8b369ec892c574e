package org.hickorypier.daemon.membership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.function.Predicate;
import org.hickorypier.daemon.peer.PeerIdentity;
import org.hickorypier.daemon.peer.PeerNetwork;
import org.hickorypier.daemon.worker.ControlView;
import org.hickorypier.wire.message.PeerMessage;
import org.hickorypier.wire.message.PeerMessage.Question;

/**
 * What the control of workers needs of the membership and the links.
 *
 * <p>Not thread safe: it belongs to the control thread.
 */
public final class PeerControlView implements ControlView {

  /** The kind of the question by which a worker is offered; its text is the worker's name. */
  public static final String OFFER = "offer";

  private static final Logger LOGGER = System.getLogger(PeerControlView.class.getName());

  /** An offer that is lost is made again by the next look at the worker. */
  private static final Duration OFFER_TIMEOUT = Duration.ofSeconds(2);

  private final PeerIdentity own;
  private final Membership membership;
  private final PeerNetwork network;
  private final Predicate<String> drained;

  /**
   * Creates the view.
   *
   * @param own this instance
   * @param membership which instances look live
   * @param network carries offers
   * @param drained whether an operator drains a name
   */
  public PeerControlView(
      PeerIdentity own, Membership membership, PeerNetwork network, Predicate<String> drained) {
    this.own = own;
    this.membership = membership;
    this.network = network;
    this.drained = drained;
  }

  @Override
  public boolean isWanted(String worker) {
    return membership.wantedController(worker).equals(own.name());
  }

  @Override
  public boolean isLive(String controller) {
    return PeerIdentity.parse(controller).map(membership::isLive).orElse(false);
  }

  @Override
  public boolean isDrained(String name) {
    return drained.test(name);
  }

  @Override
  public void offer(String worker) {
    String wanted = membership.wantedController(worker);
    if (wanted.equals(own.name())) {
      return;
    }
    network
        .request(wanted, new Question(PeerMessage.NO_CORRELATION, OFFER, worker), OFFER_TIMEOUT)
        .subscribe()
        .with(
            answer -> {},
            error ->
                LOGGER.log(
                    Level.DEBUG,
                    () -> "membership: offer of " + worker + " to " + wanted + " failed"));
  }
}
