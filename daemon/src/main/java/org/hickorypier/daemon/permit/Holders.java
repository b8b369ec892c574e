package org.hickorypier.daemon.permit;

import java.util.Optional;
import org.hickorypier.core.permits.Holder;
import org.hickorypier.daemon.peer.PeerIdentity;

/** Reads holders of permits from the text by which workers know controllers. Thread safe. */
public final class Holders {

  private Holders() {}

  /**
   * Reads a holder.
   *
   * @param controller name and incarnation, as {@code name#incarnation}
   * @return the holder, or empty if the text is not of that form
   */
  public static Optional<Holder> of(String controller) {
    return PeerIdentity.parse(controller)
        .map(identity -> new Holder(identity.name(), identity.incarnation()));
  }
}
