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
final class CallerConnections {

  private final TimerService timers;
  private final Map<HttpConnection, CallerConnection> connections = new HashMap<>();
  private int open;
  private long read;
  private long answered;
  private long closedUnused;
  private long withoutOutcome;
  private Promise<Void> empty;
  private volatile DrainReport report = DrainReport.NONE;

  CallerConnections(TimerService timers) {
    this.timers = timers;
  }

  void opened(HttpConnection connection) {
    CallerConnection known = new CallerConnection(connection, timers.nowMillis());
    connections.put(connection, known);
    connection.closeHandler(none -> closed(connection));
    publish();
  }

  private void closed(HttpConnection connection) {
    CallerConnection gone = connections.remove(connection);
    if (gone != null) {
      gone.open().forEach(this::end);
    }
    if (connections.isEmpty() && empty != null) {
      empty.tryComplete();
    }
    publish();
  }

  /**
   * Takes notice of a request whose head has come.
   *
   * @param request the request
   * @param bodyMillis how long its body may take, in milliseconds
   */
  Exchange begin(HttpServerRequest request, long bodyMillis) {
    CallerConnection connection = connections.get(request.connection());
    Exchange exchange = new Exchange(request, connection, timers.nowMillis() + bodyMillis);
    connection.begun(exchange);
    open++;
    read++;
    publish();
    return exchange;
  }

  /** Counts an answer. */
  void countAnswer(boolean outcomeKnown) {
    answered++;
    withoutOutcome += outcomeKnown ? 0 : 1;
    publish();
  }

  /**
   * Ends an exchange, whether it was answered or its connection broke.
   *
   * @return false if it had ended before
   */
  boolean end(Exchange exchange) {
    if (!exchange.end()) {
      return false;
    }
    exchange.connection().ended(exchange, timers.nowMillis());
    open--;
    publish();
    return true;
  }

  /** Returns the requests without an answer, in a list of its own. */
  List<Exchange> open() {
    List<Exchange> all = new ArrayList<>();
    connections.values().forEach(each -> all.addAll(each.open()));
    return all;
  }

  /** Closes the connections that have been unused for some time. */
  void closeUnused(long sinceStopMillis) {
    long now = timers.nowMillis();
    for (CallerConnection each : List.copyOf(connections.values())) {
      if (DrainRule.mayClose(sinceStopMillis, each.unusedMillis(now))) {
        closeOne(each);
      }
    }
  }

  /**
   * Closes all connections without a request.
   *
   * @return done when no connection is left
   */
  Future<Void> closeAllUnused() {
    empty = Promise.promise();
    List.copyOf(connections.values()).forEach(this::closeOne);
    if (connections.isEmpty()) {
      empty.tryComplete();
    }
    return empty.future();
  }

  private void closeOne(CallerConnection connection) {
    closedUnused += connection.closeIfUnused() ? 1 : 0;
    publish();
  }

  /** Counts from now on, since the instance has been told to end. */
  void countFromNow() {
    read = 0;
    answered = 0;
    closedUnused = 0;
    withoutOutcome = 0;
    publish();
  }

  DrainReport report() {
    return report;
  }

  private void publish() {
    report =
        new DrainReport(connections.size(), open, read, answered, closedUnused, withoutOutcome);
  }
}
