package org.hickorypier.daemon.peer;

/** A request to a peer that got no answer. */
public final class PeerException extends Exception {

  private final boolean mayHaveBeenTaken;

  /**
   * Creates the exception.
   *
   * @param message what happened
   * @param mayHaveBeenTaken whether the peer may have acted on the request
   */
  public PeerException(String message, boolean mayHaveBeenTaken) {
    super(message);
    this.mayHaveBeenTaken = mayHaveBeenTaken;
  }

  /**
   * Tells whether the peer may have acted on the request.
   *
   * @return false only if the request never left whole, or the peer said that it did not act on it
   */
  public boolean mayHaveBeenTaken() {
    return mayHaveBeenTaken;
  }
}
