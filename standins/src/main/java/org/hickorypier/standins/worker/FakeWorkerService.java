package org.hickorypier.standins.worker;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.function.Function;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerErrorKind;
import org.hickorypier.platform.worker.WorkerException;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.platform.worker.WorkerStatus;
import org.hickorypier.standins.fault.CallOutcome;
import org.hickorypier.standins.fault.Delays;
import org.hickorypier.standins.fault.Effect;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultGate;
import org.hickorypier.standins.fault.GatedCalls;

/**
 * A worker without a network, for tests.
 *
 * <p>Thread safe. Several fakes may share one engine, each with faults of its own, so that one
 * controller is cut off from a worker while others are not.
 */
public final class FakeWorkerService implements WorkerService {

  private final InMemoryWorker worker;
  private final Delays delays;
  private final FaultGate gate;
  private volatile boolean reachable = true;

  /**
   * Creates the fake.
   *
   * @param worker the worker
   * @param delays runs what comes later
   */
  public FakeWorkerService(InMemoryWorker worker, Delays delays) {
    this.worker = worker;
    this.delays = delays;
    this.gate = new FaultGate(delays);
  }

  /**
   * Returns the gate, to plan faults; {@link WorkerOperations} names the operations.
   *
   * @return the gate
   */
  public FaultGate faults() {
    return gate;
  }

  /**
   * Switches whether connections come about; if not, every call fails as {@code NOT_SENT}.
   *
   * @param nowReachable whether they do
   */
  public void reachable(boolean nowReachable) {
    reachable = nowReachable;
  }

  @Override
  public Uni<WorkerStatus> status() {
    return gated(WorkerOperations.STATUS, worker::status);
  }

  @Override
  public Uni<WorkerStatus> claim(String controller, long observedToken) {
    return gated(WorkerOperations.CLAIM, () -> worker.claim(controller, observedToken));
  }

  @Override
  public Uni<WorkerStatus> renew(long token, long leaseMillis) {
    return gated(WorkerOperations.RENEW, () -> worker.renew(token, leaseMillis));
  }

  @Override
  public Uni<TaskStatus> start(StartOrder order) {
    return gated(WorkerOperations.START, () -> worker.start(order).status());
  }

  @Override
  public Uni<TaskStatus> task(String taskId) {
    return gated(WorkerOperations.TASK, () -> worker.task(taskId));
  }

  @Override
  public Multi<byte[]> answer(String taskId) {
    return Uni.createFrom()
        .<Multi<byte[]>>emitter(emitter -> ask(taskId, emitter))
        .onItem()
        .transformToMulti(pieces -> pieces);
  }

  @Override
  public Uni<TaskStatus> stop(String taskId, long token, boolean checkpoint) {
    return gated(WorkerOperations.STOP, () -> worker.stop(taskId, token));
  }

  @Override
  public Uni<TaskStatus> throttle(String taskId, long token, int percent) {
    return gated(WorkerOperations.THROTTLE, () -> worker.throttle(taskId, token, percent));
  }

  private void ask(String taskId, UniEmitter<? super Multi<byte[]>> emitter) {
    if (!reachable) {
      emitter.fail(unsent());
      return;
    }
    gate.call(
        WorkerOperations.ANSWER,
        () -> taskId,
        new CallOutcome<String>() {
          @Override
          public void succeeded(String passed) {
            hold(taskId, emitter, answer -> Multi.createFrom().iterable(answer.pieces()));
          }

          @Override
          public void refused(Exception error) {
            emitter.fail(error);
          }

          @Override
          public void struck(Fault fault) {
            if (fault == Fault.CUT_BODY) {
              hold(taskId, emitter, FakeWorkerService::cut);
            } else {
              emitter.fail(failure(fault));
            }
          }
        });
  }

  private void hold(
      String taskId,
      UniEmitter<? super Multi<byte[]>> emitter,
      Function<TaskAnswer, Multi<byte[]>> stream) {
    new HeldAnswer(
            worker,
            taskId,
            delays,
            answer -> emitter.complete(stream.apply(answer.orElseThrow())),
            emitter::fail)
        .begin(HeldAnswer.FOREVER);
  }

  private static Multi<byte[]> cut(TaskAnswer answer) {
    return Multi.createBy()
        .concatenating()
        .streams(
            Multi.createFrom().iterable(answer.firstHalf()),
            Multi.createFrom().failure(failure(Fault.CUT_BODY)));
  }

  private <T> Uni<T> gated(String operation, Effect<T> effect) {
    Uni<T> call = GatedCalls.uni(gate, operation, effect, FakeWorkerService::failure);
    return Uni.createFrom().deferred(() -> reachable ? call : Uni.createFrom().failure(unsent()));
  }

  private static WorkerException unsent() {
    return new WorkerException(WorkerErrorKind.NOT_SENT, "worker: no connection", null);
  }

  private static Exception failure(Fault fault) {
    return new WorkerException(WorkerErrorKind.UNKNOWN_EFFECT, "worker: " + fault, null);
  }
}
