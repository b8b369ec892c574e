package org.hickorypier.daemon.owner;

/**
 * Registration of one linked instance as a relay of the owner's start orders.
 *
 * <p>The instance is registered once it has said that it relays orders, until its link is closed.
 * Confined to the control thread.
 */
public final class RelayRegistration {

  private final OrderRouter router;
  private final String address;
  private final OrderRouter.Sender sender;
  private OrderRouter.Relay relay;

  RelayRegistration(OrderRouter router, String address, OrderRouter.Sender sender) {
    this.router = router;
    this.address = address;
    this.sender = sender;
  }

  /** Registers the instance as a relay, unless it is one already. */
  public void register() {
    if (relay == null) {
      relay = router.add(address, sender);
    }
  }

  /**
   * Records that the instance has forwarded a submission, whose text it keeps.
   *
   * @param submission the submission's id
   */
  public void recordText(String submission) {
    if (relay != null) {
      router.recordText(submission, relay);
    }
  }

  /** Cancels the registration, since the link to the instance is closed. */
  public void cancel() {
    if (relay != null) {
      router.remove(relay);
      relay = null;
    }
  }
}
