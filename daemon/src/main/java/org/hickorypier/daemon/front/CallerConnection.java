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
  private final Set<Exchange> open = new LinkedHashSet<>();
  private long unusedSince;

  CallerConnection(HttpConnection connection, long nowMillis) {
    this.connection = connection;
    this.unusedSince = nowMillis;
  }

  void begun(Exchange exchange) {
    open.add(exchange);
  }

  void ended(Exchange exchange, long nowMillis) {
    open.remove(exchange);
    unusedSince = nowMillis;
  }

  /** Returns the requests that are open, in a list of its own. */
  List<Exchange> open() {
    return new ArrayList<>(open);
  }

  /** Returns for how long no request has been open on it; 0 while one is. */
  long unusedMillis(long nowMillis) {
    return open.isEmpty() ? nowMillis - unusedSince : 0;
  }

  /**
   * Closes the connection unless a request is open on it.
   *
   * @return true if it is closed
   */
  boolean closeIfUnused() {
    if (!open.isEmpty()) {
      return false;
    }
    connection.close();
    return true;
  }
}
