package org.hickorypier.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.hickorypier.wire.message.FrameException;
import org.hickorypier.wire.message.PeerMessage.Part;

/**
 * Puts a long message together from its parts.
 *
 * <p>Invariant: it holds no more than has arrived, and at most {@link Outbox#MAX_MESSAGE_BYTES}. A
 * message cut short by the end of its link is never handed on. Not thread safe.
 */
final class PartAssembler {

  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private int total;

  /**
   * Takes in the next part.
   *
   * @return the encoded message if this was its last part
   * @throws FrameException if the part does not follow the one before
   */
  Optional<byte[]> add(Part part) throws FrameException {
    if (part.offset() == 0) {
      received.reset();
      total = part.total();
    }
    boolean follows = part.offset() == received.size() && part.total() == total;
    boolean fits =
        total <= Outbox.MAX_MESSAGE_BYTES && part.data().length <= total - received.size();
    if (!follows || !fits || part.data().length == 0) {
      throw new FrameException("part at " + part.offset() + " of " + part.total());
    }
    received.write(part.data(), 0, part.data().length);
    if (received.size() < total) {
      return Optional.empty();
    }
    byte[] whole = received.toByteArray();
    received.reset();
    return Optional.of(whole);
  }
}
