package org.hickorypier.daemon.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hickorypier.wire.message.Frame;
import org.hickorypier.wire.message.PeerMessage;

/** One direction of a connection in memory: what was written waits until a test delivers it. */
final class FakeConnection implements LinkConnection {

  final Deque<PeerMessage> written = new ArrayDeque<>();
  int digestBytes;
  boolean full;
  boolean closed;

  @Override
  public boolean isFull() {
    return full;
  }

  @Override
  public void write(PeerMessage message, byte[] encoded) {
    written.add(message);
    if (message instanceof PeerMessage.DigestChange) {
      digestBytes += Frame.OVERHEAD_BYTES + encoded.length;
    }
  }

  @Override
  public void close() {
    closed = true;
  }

  /** Returns whether a message of a kind was written and not delivered yet. */
  boolean holds(Class<? extends PeerMessage> kind) {
    return written.stream().anyMatch(kind::isInstance);
  }
}
