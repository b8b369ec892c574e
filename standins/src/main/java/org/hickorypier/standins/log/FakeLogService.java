package org.hickorypier.standins.log;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import org.hickorypier.platform.log.LogPage;
import org.hickorypier.platform.log.LogRange;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.platform.log.LogServiceException;
import org.hickorypier.standins.fault.Delays;
import org.hickorypier.standins.fault.Effect;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultGate;
import org.hickorypier.standins.fault.GatedCalls;

/**
 * The log service without a network, for tests.
 *
 * <p>Thread safe. Several fakes may share one engine, each with faults of its own, so that one
 * instance is cut off from the log while others are not.
 */
public final class FakeLogService implements LogService {

  private final InMemoryLog log;
  private final Delays delays;
  private final FaultGate gate;

  /**
   * Creates the fake.
   *
   * @param log the streams
   * @param delays runs what comes later
   */
  public FakeLogService(InMemoryLog log, Delays delays) {
    this.log = log;
    this.delays = delays;
    this.gate = new FaultGate(delays);
  }

  /**
   * Returns the gate, to plan faults: operations {@code append}, {@code read}, {@code range}.
   *
   * @return the gate
   */
  public FaultGate faults() {
    return gate;
  }

  @Override
  public Uni<Long> append(String stream, List<byte[]> records) {
    return gated(LogOperations.APPEND, () -> log.append(stream, records));
  }

  @Override
  public Uni<LogPage> read(String stream, long from, int limit, Duration wait) {
    return gated(LogOperations.READ, () -> stream)
        .chain(
            passed ->
                Uni.createFrom()
                    .emitter(
                        emitter ->
                            new HeldRead(log, stream, from, limit, emitter::complete, emitter::fail)
                                .begin(wait.toMillis(), delays)));
  }

  @Override
  public Uni<LogRange> range(String stream) {
    return gated(LogOperations.RANGE, () -> log.range(stream));
  }

  private <T> Uni<T> gated(String operation, Effect<T> effect) {
    return GatedCalls.uni(gate, operation, effect, FakeLogService::failure);
  }

  private static Exception failure(Fault fault) {
    return new LogServiceException("log service: " + fault, null);
  }
}
