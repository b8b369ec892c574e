package org.hickorypier.daemon.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.daemon.time.TimerService;

/**
 * The connections that have not shown yet who they are.
 *
 * <p>Load it is made for: somebody opens connections without end and says nothing. Each is closed
 * after {@link #LIMIT}, and of more than {@link #MOST} the oldest goes first. So they cost bounded
 * memory, and a peer, which needs a few milliseconds, gets in between them.
 *
 * <p>Not thread safe: it belongs to the control thread.
 */
final class Strangers {

  /** How long a connection may take to prove itself; a round trip takes a few milliseconds. */
  static final Duration LIMIT = Duration.ofSeconds(2);

  /**
   * Most at a time; each holds a frame of the handshake and a socket buffer, 64 KiB at the most.
   */
  static final int MOST = 256;

  /**
   * How often refused connections are logged, in one line. A line for each would let anybody on the
   * network fill the logs.
   */
  private static final Duration LOG_PERIOD = Duration.ofSeconds(10);

  private static final Logger LOGGER = System.getLogger(Strangers.class.getName());

  private final TimerService timers;
  private final Map<PeerConnection, Long> opened = new LinkedHashMap<>();
  private int refused;
  private String lastRefusal = "";
  private long loggedMillis = -LOG_PERIOD.toMillis();

  Strangers(TimerService timers) {
    this.timers = timers;
  }

  void add(PeerConnection connection) {
    opened.put(connection, timers.nowMillis());
    if (opened.size() > MOST) {
      Iterator<PeerConnection> oldest = opened.keySet().iterator();
      PeerConnection dropped = oldest.next();
      oldest.remove();
      dropped.close();
    }
  }

  void remove(PeerConnection connection) {
    opened.remove(connection);
  }

  int count() {
    return opened.size();
  }

  /** Notes that a connection was closed for what it sent. */
  void refused(String why) {
    refused++;
    lastRefusal = why;
  }

  /** Closes those whose time is over, and logs what was refused. */
  void tick() {
    logRefused();
    long limit = timers.nowMillis() - LIMIT.toMillis();
    List<PeerConnection> late =
        opened.entrySet().stream()
            .filter(entry -> entry.getValue() < limit)
            .map(Map.Entry::getKey)
            .toList();
    late.forEach(PeerConnection::close);
    late.forEach(opened::remove);
  }

  void closeAll() {
    opened.keySet().forEach(PeerConnection::close);
    opened.clear();
  }

  private void logRefused() {
    long now = timers.nowMillis();
    if (refused > 0 && now - loggedMillis >= LOG_PERIOD.toMillis()) {
      LOGGER.log(
          Level.WARNING, "peer: refused {0} connections, the last: {1}", refused, lastRefusal);
      refused = 0;
      loggedMillis = now;
    }
  }
}
