package org.hickorypier.daemon.owner;

/**
 * The way of the owner's start orders through one linked instance.
 *
 * <p>Closed until the instance says that it relays orders. Confined to the control thread.
 */
public final class OrderRoute {

  private final OrderRouter router;
  private final String address;
  private final OrderRouter.Sender sender;
  private OrderRouter.Relay relay;

  OrderRoute(OrderRouter router, String address, OrderRouter.Sender sender) {
    this.router = router;
    this.address = address;
    this.sender = sender;
  }

  /** Opens the route: the instance relays orders. */
  public void open() {
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

  /** Closes the route: the link to the instance is closed. */
  public void close() {
    if (relay != null) {
      router.remove(relay);
      relay = null;
    }
  }
}
