package org.hickorypier.daemon.front;

import io.vertx.core.http.HttpConnection;
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

  private final HttpConnection connection;
  private final Set<Exchange> openExchanges = new LinkedHashSet<>();
  private long idleSinceMillis;

  CallerConnection(HttpConnection connection, long nowMillis) {
    this.connection = connection;
    this.idleSinceMillis = nowMillis;
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
    connection.close();
    return true;
  }
}
