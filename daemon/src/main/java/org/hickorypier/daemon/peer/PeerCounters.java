package org.hickorypier.daemon.peer;

/** Counts the traffic between instances. Implementations are safe to call from any thread. */
public interface PeerCounters {

  /** Counts nothing. */
  PeerCounters NONE =
      new PeerCounters() {
        @Override
        public void sent(String kind, int bytes) {}

        @Override
        public void received(String kind, int bytes) {}

        @Override
        public void dropped(String kind) {}
      };

  /**
   * Counts a frame that was written.
   *
   * @param kind the kind of message
   * @param bytes the length of the frame, header included
   */
  void sent(String kind, int bytes);

  /**
   * Counts a frame that was read.
   *
   * @param kind the kind of message
   * @param bytes the length of the frame, header included
   */
  void received(String kind, int bytes);

  /**
   * Counts something given up on: a message, or a connection.
   *
   * @param kind what it was
   */
  void dropped(String kind);
}
