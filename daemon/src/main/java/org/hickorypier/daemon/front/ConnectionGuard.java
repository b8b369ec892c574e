package org.hickorypier.daemon.front;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.hickorypier.core.cell.EventLog;
import org.hickorypier.core.intake.IntakeBudget;
import org.hickorypier.core.intake.IntakeLimits;

/**
 * Keeps the clients of an HTTP listener within {@link IntakeLimits}: counts what each connection
 * holds, and refuses or closes connections when all together exceed a limit.
 *
 * <p>Confined to the event loop of the listener, except for {@link #report}.
 */
public final class ConnectionGuard {

  private static final String PART = "front";
  private static final String DECODER = "httpDecoder";
  private static final String ENCODER = "httpEncoder";

  /** Limits the memory of what is read ahead of a request that waits. */
  private static final int MAX_READ_BYTES = 2_048;

  private static final int FIRST_READ_BYTES = MAX_READ_BYTES;
  private static final int MIN_READ_BYTES = 256;

  /** A crowd of refused clients must not fill the log. */
  private static final long LOG_PERIOD_MILLIS = 10_000;

  private final String listener;
  private final Predicate<String> keptHeaders;
  private final GuardMode mode;
  private final IntakeBudget<GuardedConnection> budget;
  private final Consumer<GuardedConnection> refusal;
  private final LongSupplier nowMillis;
  private final EventLog log;
  private long refusedCount;
  private long loggedCount;
  private long loggedAtMillis;
  private volatile IntakeReport report = IntakeReport.NONE;

  /**
   * Creates a guard.
   *
   * @param listener the name of the listener in the log
   * @param limits the limits
   * @param keptHeaders accepts the names of the headers in use, in lower case; others are dropped
   * @param mode who tells of the requests
   * @param refusal refuses the incomplete request on a connection, if there is one, and closes it
   * @param nowMillis the time in milliseconds, on a steady clock
   * @param log receives the events
   */
  public ConnectionGuard(
      String listener,
      IntakeLimits limits,
      Predicate<String> keptHeaders,
      GuardMode mode,
      Consumer<GuardedConnection> refusal,
      LongSupplier nowMillis,
      EventLog log) {
    this.listener = listener;
    this.keptHeaders = keptHeaders;
    this.mode = mode;
    this.budget = new IntakeBudget<>(limits);
    this.refusal = refusal;
    this.nowMillis = nowMillis;
    this.log = log;
    this.loggedAtMillis = nowMillis.getAsLong() - LOG_PERIOD_MILLIS;
  }

  /**
   * Installs the decoder of a new connection; called before anything is read from it.
   *
   * @param connection the connection
   * @return what it does and holds, of which nothing counts before {@link #open}
   */
  public GuardedConnection install(HttpConnection connection) {
    GuardedConnection guarded = new GuardedConnection(connection);
    Channel channel = ((ConnectionBase) connection).channel();
    channel
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES));
    MeteredRequestDecoder decoder =
        new MeteredRequestDecoder(
            HttpServerOptions.DEFAULT_MAX_INITIAL_LINE_LENGTH,
            HttpServerOptions.DEFAULT_MAX_HEADER_SIZE,
            keptHeaders,
            observer(guarded));
    ReadGate gate =
        new ReadGate(
            () ->
                mode == GuardMode.ANSWERED_AT_ONCE
                    || decoder.completedRequests() <= guarded.endedRequests(),
            keptBytes -> {
              guarded.recordKept(keptBytes);
              update(guarded);
            });
    guarded.onEnd(gate::passLater);
    channel.pipeline().addBefore(DECODER, "gate", gate).replace(DECODER, DECODER, decoder);
    if (mode == GuardMode.WATCHED) {
      channel.pipeline().addAfter(ENCODER, "answers", new AnswerObserver(() -> end(guarded)));
    }
    return guarded;
  }

  private MeteredRequestDecoder.RequestObserver observer(GuardedConnection guarded) {
    return new MeteredRequestDecoder.RequestObserver() {
      @Override
      public void onPart(int bodyBytes, boolean complete) {
        if (mode == GuardMode.WATCHED) {
          guarded.recordBody(bodyBytes);
          if (complete) {
            guarded.recordComplete();
          }
        }
      }

      @Override
      public void onProgress(boolean inHead, int maxHeadBytes) {
        guarded.recordHead(inHead, maxHeadBytes);
        update(guarded);
      }
    };
  }

  private void end(GuardedConnection guarded) {
    guarded.recordEnd();
    update(guarded);
  }

  /**
   * Begins to count a new connection, which may be closed at once; its close handler has to be set.
   *
   * @param guarded the connection
   */
  public void open(GuardedConnection guarded) {
    refuse(budget.open(guarded));
    report = new IntakeReport(budget.connections(), budget.heldBytes(), refusedCount);
  }

  /** Returns what is held at present; callable from any thread. */
  IntakeReport report() {
    return report;
  }

  /**
   * Applies what was recorded of a connection, which may be refused.
   *
   * @param guarded the connection
   */
  public void update(GuardedConnection guarded) {
    if (guarded.isGone()) {
      budget.close(guarded);
    } else {
      refuse(budget.update(guarded, guarded.phase(), guarded.heldBytes()));
    }
    report = new IntakeReport(budget.connections(), budget.heldBytes(), refusedCount);
  }

  private void refuse(List<GuardedConnection> connections) {
    if (connections.isEmpty()) {
      return;
    }
    refusedCount += connections.size();
    long now = nowMillis.getAsLong();
    if (now - loggedAtMillis >= LOG_PERIOD_MILLIS) {
      loggedAtMillis = now;
      log.event(
          PART,
          "intake-refused",
          "listener",
          listener,
          "count",
          refusedCount - loggedCount,
          "connections",
          budget.connections(),
          "held_bytes",
          budget.heldBytes());
      loggedCount = refusedCount;
    }
    connections.forEach(refusal);
  }
}
