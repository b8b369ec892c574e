package org.hickorypier.measure.soak;

import io.vertx.core.Vertx;
import java.util.List;
import org.hickorypier.measure.fleet.FleetException;
import org.hickorypier.standins.fault.Fault;
import org.hickorypier.standins.fault.FaultPlan;

/**
 * Brings disturbances about, and ends each after its length.
 *
 * <p>Thread safe. Signals go only to the processes that the soak has started.
 */
final class Disturber {

  /** Half of a lease: a step of the time of day that would matter if it were believed. */
  private static final long CLOCK_STEP_MILLIS = 2_000;

  private static final long SLOW_MILLIS = 250;
  private static final int LOST_ANSWERS = 5;
  private static final long LATE_MILLIS = 3_000;
  private static final int LATE_CALLS = 4;
  private static final long RESTART_POLL_MILLIS = 200;

  private final Vertx vertx;
  private final StandInPlatform platform;
  private final List<InstanceProcess> instances;
  private final SoakCallers callers;
  private final LastingTaskCheck lasting;

  Disturber(
      Vertx vertx,
      StandInPlatform platform,
      List<InstanceProcess> instances,
      SoakCallers callers,
      LastingTaskCheck lasting) {
    this.vertx = vertx;
    this.platform = platform;
    this.instances = instances;
    this.callers = callers;
    this.lasting = lasting;
  }

  /** Begins a disturbance. Signals block for some milliseconds, so this is no event loop's work. */
  void begin(Disturbance disturbance) throws FleetException, SoakException {
    InstanceProcess instance = instances.get(disturbance.target() % instances.size());
    StandInWorker worker = platform.workers.get(disturbance.target() % platform.workers.size());
    long length = disturbance.lengthMillis();
    if (!disturbance.kind().planned()) {
      // Late calls take effect, and processes start, after the end.
      lasting.disturbed(length + LATE_MILLIS);
    }
    switch (disturbance.kind()) {
      case KILL_INSTANCE -> killed(List.of(instance), length);
      case KILL_ALL -> killed(instances, length);
      case TERMINATE_INSTANCE -> terminated(instance);
      case PAUSE_INSTANCE -> {
        instance.pause();
        later(length, instance::resume);
      }
      case STEP_CLOCK -> {
        instance.stepClock(CLOCK_STEP_MILLIS);
        later(length, () -> instance.stepClock(-CLOCK_STEP_MILLIS));
      }
      case STORE_REFUSES_INSTANCE -> during(length, instance.store, ProxyMode.REFUSE);
      case STORE_SILENT_FOR_INSTANCE -> during(length, instance.store, ProxyMode.SILENT);
      case STORE_SILENT -> {
        for (InstanceProcess each : instances) {
          during(length, each.store, ProxyMode.SILENT);
        }
      }
      case STORE_LOSES_ANSWERS ->
          storeFaults(length, new FaultPlan("append", Fault.RESET_AFTER_EFFECT, LOST_ANSWERS, 0));
      case STORE_LATE ->
          storeFaults(length, new FaultPlan("append", Fault.LATE_EFFECT, LATE_CALLS, LATE_MILLIS));
      case STORE_SLOW -> storeFaults(length, new FaultPlan("", Fault.NONE, -1, SLOW_MILLIS));
      case STORE_FORGETS -> platform.store.forgetHistory();
      case CRASH_WORKER -> worker.crash(length);
      case CUT_WORKER -> during(length, worker.proxy, ProxyMode.SILENT);
      case CUT_ANSWERS_OF_WORKER -> during(length, worker.proxy, ProxyMode.LOSE_ANSWERS);
      case WORKER_LATE ->
          workerFaults(
              worker, length, new FaultPlan("start", Fault.LATE_EFFECT, LATE_CALLS, LATE_MILLIS));
      case WORKER_FAILS_ALL -> {
        worker.failAll(true);
        later(length, () -> worker.failAll(false));
      }
      case CUT_LINKS -> during(length, instance.links, ProxyMode.SILENT);
      case DELAY_LINKS -> during(length, instance.links, ProxyMode.DELAY);
      case RESET_CALLERS -> instance.callers.resetAll();
      case SHRINK_WORKER -> {
        worker.changeProcessors(
            StandInPlatform.WORKER.milliProcessors() / (2 + disturbance.target() % 4));
        later(length, () -> worker.changeProcessors(StandInPlatform.WORKER.milliProcessors()));
      }
      case RELEASE_WORKER ->
          platform.release(disturbance.target() % platform.workers.size(), length);
      case RESTART_DATA_CENTRE ->
          platform.dataCentre(disturbance.target()).forEach(each -> each.crashDark(length));
      case CUT_DATA_CENTRE ->
          platform.dataCentre(disturbance.target()).forEach(each -> each.cutOff(length));
      case KILL_OWNER -> killed(List.of(owner(instance)), length);
      case PAUSE_OWNER -> {
        InstanceProcess owner = owner(instance);
        owner.pause();
        later(length, owner::resume);
      }
      default -> callers.useWithdrawn(platform.changeKey());
    }
  }

  /** Ends what may still be on; processes that are down start again. */
  void calm() throws FleetException {
    platform.storeServer.gate().plan(FaultPlan.NONE);
    for (InstanceProcess instance : instances) {
      instance.resume();
      instance.start();
      instance.store.mode(ProxyMode.PASS);
      instance.links.mode(ProxyMode.PASS);
    }
    for (StandInWorker worker : platform.workers) {
      worker.failAll(false);
      worker.faults(FaultPlan.NONE);
    }
  }

  private InstanceProcess owner(InstanceProcess otherwise) {
    String address = platform.ownerAddress();
    InstanceProcess owner =
        instances.stream()
            .filter(each -> each.linkAddress().equals(address))
            .findFirst()
            .orElse(otherwise);
    lasting.note("the owner is " + owner.name());
    return owner;
  }

  private void killed(List<InstanceProcess> which, long length) throws FleetException {
    for (InstanceProcess instance : which) {
      instance.kill();
    }
    later(
        length,
        () -> {
          for (InstanceProcess instance : which) {
            instance.start();
          }
        });
  }

  private void terminated(InstanceProcess instance) {
    instance.terminate();
    restartWhenGone(instance);
  }

  private void restartWhenGone(InstanceProcess instance) {
    later(
        RESTART_POLL_MILLIS,
        () -> {
          if (instance.runs()) {
            restartWhenGone(instance);
          } else {
            instance.start();
          }
        });
  }

  private void during(long length, LoopbackProxy proxy, ProxyMode mode) {
    proxy.mode(mode);
    later(length, () -> proxy.mode(ProxyMode.PASS));
  }

  private void storeFaults(long length, FaultPlan plan) {
    platform.storeServer.gate().plan(plan);
    later(length, () -> platform.storeServer.gate().plan(FaultPlan.NONE));
  }

  private void workerFaults(StandInWorker worker, long length, FaultPlan plan) {
    worker.faults(plan);
    later(length, () -> worker.faults(FaultPlan.NONE));
  }

  /** The end of a disturbance. */
  @FunctionalInterface
  private interface Ending {

    void run() throws FleetException;
  }

  private void later(long millis, Ending ending) {
    vertx.setTimer(
        Math.max(1, millis),
        timer ->
            vertx.executeBlocking(
                () -> {
                  ending.run();
                  return null;
                }));
  }
}
