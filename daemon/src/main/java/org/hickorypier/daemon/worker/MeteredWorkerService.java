package org.hickorypier.daemon.worker;

import io.micrometer.core.instrument.MeterRegistry;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import org.hickorypier.platform.worker.StartOrder;
import org.hickorypier.platform.worker.TaskStatus;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * A decorator that counts the calls to workers by kind. There is one time series per kind,
 * independent of the number of workers.
 *
 * <p>Thread-safe, as the registry is.
 */
public final class MeteredWorkerService implements WorkerService {

  private final WorkerService worker;
  private final MeterRegistry registry;

  /**
   * Wraps a worker.
   *
   * @param worker the worker to which calls are delegated
   * @param registry the registry of the counters
   */
  public MeteredWorkerService(WorkerService worker, MeterRegistry registry) {
    this.worker = worker;
    this.registry = registry;
  }

  @Override
  public Uni<WorkerStatus> status() {
    count("status");
    return worker.status();
  }

  @Override
  public Uni<WorkerStatus> claim(String controller, long observedToken) {
    count("claim");
    return worker.claim(controller, observedToken);
  }

  @Override
  public Uni<WorkerStatus> renew(long token, long leaseMillis) {
    count("renew");
    return worker.renew(token, leaseMillis);
  }

  @Override
  public Uni<TaskStatus> start(StartOrder order) {
    count("start");
    return worker.start(order);
  }

  @Override
  public Uni<TaskStatus> task(String taskId) {
    count("task");
    return worker.task(taskId);
  }

  @Override
  public Multi<byte[]> answer(String taskId) {
    count("answer");
    return worker.answer(taskId);
  }

  @Override
  public Uni<TaskStatus> stop(String taskId, long token, boolean checkpoint) {
    count("stop");
    return worker.stop(taskId, token, checkpoint);
  }

  @Override
  public Uni<TaskStatus> throttle(String taskId, long token, int percent) {
    count("throttle");
    return worker.throttle(taskId, token, percent);
  }

  private void count(String call) {
    registry.counter("hickorypier.worker.calls", "call", call).increment();
  }
}
