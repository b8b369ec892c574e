package org.hickorypier.daemon.front;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A caller's connection and the exchanges that are open on it.
 *
 * <p>Invariant: this side does not close the connection while an exchange is open. Confined to the
 * traffic thread.
 */
final class CallerConnection {

  private final GuardedConnection guarded;
  private final Set<Exchange> openExchanges = new LinkedHashSet<>();
  private long idleSinceMillis;

  CallerConnection(GuardedConnection guarded, long nowMillis) {
    this.guarded = guarded;
    this.idleSinceMillis = nowMillis;
  }

  GuardedConnection guarded() {
    return guarded;
  }

  void addExchange(Exchange exchange) {
    openExchanges.add(exchange);
  }

  void removeExchange(Exchange exchange, long nowMillis) {
    openExchanges.remove(exchange);
    idleSinceMillis = nowMillis;
  }

  /** Returns a copy of the open exchanges. */
  List<Exchange> openExchanges() {
    return new ArrayList<>(openExchanges);
  }

  /** Returns the time without an open exchange, in milliseconds; 0 while one is open. */
  long idleMillis(long nowMillis) {
    return openExchanges.isEmpty() ? nowMillis - idleSinceMillis : 0;
  }

  /**
   * Closes the connection unless an exchange is open on it.
   *
   * @return true if it was closed
   */
  boolean closeIfIdle() {
    if (!openExchanges.isEmpty()) {
      return false;
    }
    guarded.connection().close();
    return true;
  }
}
