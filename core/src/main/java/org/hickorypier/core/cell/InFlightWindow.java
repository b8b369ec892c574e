package org.hickorypier.core.cell;

/**
 * Bounds the bytes of the submissions that an instance has forwarded to the owner and that are not
 * answered yet.
 *
 * <p>The load in question is an owner that has just taken over while requests have gathered at all
 * instances, or one that is behind. Without a bound, every instance forwards all that waits, and
 * the owner's link carries nothing else for seconds: neither the answers of the store nor those of
 * the workers. What does not fit waits at its instance, oldest first, where a caller whose time is
 * over is told truly that its submission has not run. On a fast link the bound is never reached.
 * Confined to the control thread.
 */
public final class InFlightWindow {

  /** Time that the window of one instance takes on the owner's link, in seconds. */
  private static final double LINK_SECONDS = 0.02;

  private final double limitBytes;
  private long inFlightBytes;

  /**
   * Creates an empty window.
   *
   * @param linkBytesPerSecond the bandwidth of the owner's link in each direction, in bytes per
   *     second
   */
  public InFlightWindow(double linkBytesPerSecond) {
    this.limitBytes = LINK_SECONDS * linkBytesPerSecond;
  }

  /**
   * Takes room for a request. A request that is larger than the window is sent alone.
   *
   * @param bytes the size of the request
   * @return whether the request may be sent now
   */
  public boolean tryTake(long bytes) {
    if (inFlightBytes > 0 && inFlightBytes + bytes > limitBytes) {
      return false;
    }
    inFlightBytes += bytes;
    return true;
  }

  /**
   * Frees the room of a request that was answered, or whose link is closed.
   *
   * @param bytes the size of the request
   */
  public void release(long bytes) {
    inFlightBytes -= bytes;
  }
}
