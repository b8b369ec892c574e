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
 * All connections of callers, with the requests that are open on them.
 *
 * <p>Belongs to the traffic thread; {@link #report} may be called from any thread.
 */
final class CallerConnectionRegistry {

  private final TimerService timers;
  private final Map<HttpConnection, CallerConnection> connections = new HashMap<>();
  private int openExchanges;
  private long readCount;
  private long answeredCount;
  private long closedIdleCount;
  private long unknownOutcomeCount;
  private Promise<Void> allClosed;
  private volatile DrainReport report = DrainReport.NONE;

  CallerConnectionRegistry(TimerService timers) {
    this.timers = timers;
  }

  void register(HttpConnection connection) {
    CallerConnection known = new CallerConnection(connection, timers.nowMillis());
    connections.put(connection, known);
    connection.closeHandler(none -> unregister(connection));
    publishReport();
  }

  private void unregister(HttpConnection connection) {
    CallerConnection gone = connections.remove(connection);
    if (gone != null) {
      gone.openExchanges().forEach(this::endExchange);
    }
    if (connections.isEmpty() && allClosed != null) {
      allClosed.tryComplete();
    }
    publishReport();
  }

  /**
   * Takes notice of a request whose head has come.
   *
   * @param request the request
   * @param bodyMillis how long its body may take, in milliseconds
   */
  Exchange beginExchange(HttpServerRequest request, long bodyMillis) {
    CallerConnection connection = connections.get(request.connection());
    Exchange exchange = new Exchange(request, connection, timers.nowMillis() + bodyMillis);
    connection.addExchange(exchange);
    openExchanges++;
    readCount++;
    publishReport();
    return exchange;
  }

  /** Counts an answer. */
  void countAnswer(boolean outcomeKnown) {
    answeredCount++;
    unknownOutcomeCount += outcomeKnown ? 0 : 1;
    publishReport();
  }

  /**
   * Ends an exchange, whether it was answered or its connection broke.
   *
   * @return false if it had ended before
   */
  boolean endExchange(Exchange exchange) {
    if (!exchange.end()) {
      return false;
    }
    exchange.connection().removeExchange(exchange, timers.nowMillis());
    openExchanges--;
    publishReport();
    return true;
  }

  /** Returns the requests without an answer, in a list of its own. */
  List<Exchange> openExchanges() {
    List<Exchange> all = new ArrayList<>();
    connections.values().forEach(each -> all.addAll(each.openExchanges()));
    return all;
  }

  /** Closes the connections that have been unused for some time. */
  void closeIdle(long sinceStopMillis) {
    long now = timers.nowMillis();
    for (CallerConnection each : List.copyOf(connections.values())) {
      if (DrainPolicy.mayClose(sinceStopMillis, each.idleMillis(now))) {
        closeIfIdle(each);
      }
    }
  }

  /**
   * Closes all connections without a request.
   *
   * @return done when no connection is left
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

  /** Counts from now on, since the instance has been told to end. */
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
            openExchanges,
            readCount,
            answeredCount,
            closedIdleCount,
            unknownOutcomeCount);
  }
}
