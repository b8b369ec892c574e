package org.hickorypier.daemon.front;

import io.vertx.core.http.HttpConnection;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A caller's connection and the requests that are open on it.
 *
 * <p>Invariant: while a request is open the connection is not closed from this side. Belongs to the
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

  /** Returns the requests that are open, in a list of its own. */
  List<Exchange> openExchanges() {
    return new ArrayList<>(openExchanges);
  }

  /** Returns for how long no request has been open on it; 0 while one is. */
  long idleMillis(long nowMillis) {
    return openExchanges.isEmpty() ? nowMillis - idleSinceMillis : 0;
  }

  /**
   * Closes the connection unless a request is open on it.
   *
   * @return true if it is closed
   */
  boolean closeIfIdle() {
    if (!openExchanges.isEmpty()) {
      return false;
    }
    connection.close();
    return true;
  }
}
