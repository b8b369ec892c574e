package org.hickorypier.acceptance.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.TaskId;
import org.hickorypier.core.model.WorkClass;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.platform.instance.InstanceKind;
import org.hickorypier.platform.instance.InstanceState;
import org.hickorypier.platform.instance.ListedInstance;
import org.hickorypier.standins.fault.ManualTime;
import org.hickorypier.standins.worker.FleetHistory;
import org.hickorypier.standins.worker.InMemoryWorker;
import org.hickorypier.standins.worker.WorkerConditions;
import org.hickorypier.standins.worker.WorkerProfile;
import org.hickorypier.standins.worker.WorkerSafeguard;

/** Two instances and one worker with room for four tasks, on fake time. Not thread safe. */
final class ControlBench {

  static final String WORKER = "worker1";
  static final Resources QUARTER = new Resources(4_000, 16_384, 0);
  static final String SERVICE = "{\"service\":true}";

  final ManualTime time = new ManualTime();
  final InMemoryWorker worker = new InMemoryWorker(WorkerProfile.usual(WORKER), time);
  final ControllerNode first = new ControllerNode(time, "first#1", List.of(worker));
  final ControllerNode second = new ControllerNode(time, "second#1", List.of(worker));

  static final List<ListedInstance> LIST =
      List.of(
          new ListedInstance(
              WORKER, InstanceKind.WORKER, InstanceState.LIVE, WORKER, "", "dc1", "rack1"));

  /** Gives the first instance control. */
  void firstTakesControl() {
    first.want(WORKER, LIST);
  }

  /** Lets the second instance take the first for gone, and take over. */
  void secondTakesOver() {
    second.seeGone(first);
    second.want(WORKER, LIST);
  }

  /** Switches off what the worker enforces. */
  void disable(WorkerSafeguard... safeguards) {
    worker.conditions(
        new WorkerConditions(false, false, Stream.of(safeguards).collect(Collectors.toSet())));
  }

  /** Lets time pass in steps, with each instance and the worker going on. */
  void pass(long millis) {
    time.advance(millis);
    worker.settle();
  }

  FleetHistory record() {
    return new FleetHistory(List.of(worker.history()));
  }

  static TaskId task(String requestId, int attempt) {
    return new TaskId(new WorkKey("norte", requestId), attempt, 0);
  }

  static void start(ControllerNode node, TaskId id, String payload) {
    node.start(id, WORKER, QUARTER, WorkClass.BATCH, bytes(payload));
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
