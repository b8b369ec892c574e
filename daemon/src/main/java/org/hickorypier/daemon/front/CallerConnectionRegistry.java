package org.hickorypier.daemon.front;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.daemon.time.TimerService;

/**
 * Registry of all caller connections and of the exchanges that are open on them.
 *
 * <p>Confined to the traffic thread; {@link #report} may be called from any thread.
 */
final class CallerConnectionRegistry {

  private final TimerService timers;
  private final ConnectionGuard guard;
  private final Map<HttpConnection, CallerConnection> connections = new HashMap<>();
  private int openCount;
  private long readCount;
  private long answeredCount;
  private long closedIdleCount;
  private long unknownOutcomeCount;
  private Promise<Void> allClosed;
  private volatile DrainReport report = DrainReport.NONE;

  CallerConnectionRegistry(TimerService timers, ConnectionGuard guard) {
    this.timers = timers;
    this.guard = guard;
  }

  void register(GuardedConnection guarded) {
    CallerConnection added = new CallerConnection(guarded, timers.nowMillis());
    HttpConnection connection = guarded.connection();
    connections.put(connection, added);
    connection.closeHandler(ignored -> unregister(connection));
    publishReport();
  }

  private void unregister(HttpConnection connection) {
    CallerConnection removed = connections.remove(connection);
    if (removed != null) {
      removed.openExchanges().forEach(this::endExchange);
      removed.guarded().recordClosed();
      guard.update(removed.guarded());
    }
    if (connections.isEmpty() && allClosed != null) {
      allClosed.tryComplete();
    }
    publishReport();
  }

  /**
   * Opens an exchange for a request whose head has been read.
   *
   * @param request the request
   * @param bodyMillis the time limit for reading its body, in milliseconds
   */
  Exchange beginExchange(HttpServerRequest request, long bodyMillis) {
    CallerConnection connection = connections.get(request.connection());
    Exchange exchange = new Exchange(request, connection, timers.nowMillis() + bodyMillis);
    connection.addExchange(exchange);
    connection.guarded().recordBody(0);
    guard.update(connection.guarded());
    openCount++;
    readCount++;
    publishReport();
    return exchange;
  }

  void countAnswer(boolean outcomeKnown) {
    answeredCount++;
    unknownOutcomeCount += outcomeKnown ? 0 : 1;
    publishReport();
  }

  /**
   * Ends an exchange that is about to be answered, or whose connection was closed.
   *
   * @return false if it had already ended
   */
  boolean endExchange(Exchange exchange) {
    if (!exchange.end()) {
      return false;
    }
    exchange.connection().removeExchange(exchange, timers.nowMillis());
    exchange.connection().guarded().recordEnd();
    guard.update(exchange.connection().guarded());
    openCount--;
    publishReport();
    return true;
  }

  /** Returns a copy of the exchanges on a connection without an answer. */
  List<Exchange> openExchanges(HttpConnection connection) {
    CallerConnection caller = connections.get(connection);
    return caller == null ? List.of() : caller.openExchanges();
  }

  /** Returns a copy of the exchanges without an answer. */
  List<Exchange> openExchanges() {
    List<Exchange> all = new ArrayList<>();
    connections.values().forEach(each -> all.addAll(each.openExchanges()));
    return all;
  }

  /** Closes the connections that {@link DrainPolicy} allows to close. */
  void closeIdle(long sinceDrainMillis) {
    long now = timers.nowMillis();
    for (CallerConnection each : List.copyOf(connections.values())) {
      if (DrainPolicy.mayClose(sinceDrainMillis, each.idleMillis(now))) {
        closeIfIdle(each);
      }
    }
  }

  /**
   * Closes all connections without an open exchange.
   *
   * @return completes when no connection is left
   */
  Future<Void> closeAllIdle() {
    allClosed = Promise.promise();
    List.copyOf(connections.values()).forEach(this::closeIfIdle);
    if (connections.isEmpty()) {
      allClosed.tryComplete();
    }
    return allClosed.future();
  }

  private void closeIfIdle(CallerConnection connection) {
    closedIdleCount += connection.closeIfIdle() ? 1 : 0;
    publishReport();
  }

  /** Resets the counters, so that the report covers the drain only. */
  void resetCounters() {
    readCount = 0;
    answeredCount = 0;
    closedIdleCount = 0;
    unknownOutcomeCount = 0;
    publishReport();
  }

  DrainReport report() {
    return report;
  }

  private void publishReport() {
    report =
        new DrainReport(
            connections.size(),
            openCount,
            readCount,
            answeredCount,
            closedIdleCount,
            unknownOutcomeCount);
  }
}
