package org.hickorypier.core.intake;

/**
 * The limits of what the clients of a listener may hold together. Immutable.
 *
 * @param connections the most connections that are open at a time, at least 1
 * @param bytes the most memory for requests that are incomplete or not answered, in bytes, at least
 *     1
 */
public record IntakeLimits(int connections, long bytes) {

  /** A connection that holds at most this much, in bytes, may use the part kept for small ones. */
  static final long SMALL_BYTES = 16_384;

  /** The part of the memory that is kept for small requests is one of this many. */
  private static final int SMALL_PART = 4;

  /**
   * Creates the limits.
   *
   * @throws IllegalArgumentException if one of them is less than 1
   */
  public IntakeLimits {
    if (connections < 1 || bytes < 1) {
      throw new IllegalArgumentException(
          "connections " + connections + ", bytes " + bytes + "; expected at least 1 of each");
    }
  }

  /** Returns the most memory in use with which a connection may hold so many bytes. */
  long bytesWhileHolding(long heldBytes) {
    return heldBytes <= SMALL_BYTES ? bytes : bytes - bytes / SMALL_PART;
  }
}
