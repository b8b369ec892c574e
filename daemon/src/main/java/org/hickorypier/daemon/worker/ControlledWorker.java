package org.hickorypier.daemon.worker;

import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * The state of one worker as known to this instance.
 *
 * <p>Confined to the control thread. Invariant: the token is 0 unless the worker granted it to this
 * instance and has not yet rejected it.
 */
final class ControlledWorker {

  private final String name;
  private final String address;
  private final WorkerService service;
  private boolean listedLeaving;
  private boolean listed = true;
  private boolean callPending;
  private long token;
  private long lastCommandMillis;
  private long lastResponseMillis;
  private int consecutiveFailures;
  private long failingSinceMillis;
  private WorkerDescription description;
  private boolean reportedLeaving;
  private String otherController = "";

  ControlledWorker(String name, String address, WorkerService service) {
    this.name = name;
    this.address = address;
    this.service = service;
  }

  String name() {
    return name;
  }

  String address() {
    return address;
  }

  WorkerService service() {
    return service;
  }

  boolean isControlled() {
    return token != 0;
  }

  long token() {
    return token;
  }

  void clearToken() {
    token = 0;
  }

  boolean isCallPending() {
    return callPending;
  }

  void setCallPending(boolean pending) {
    callPending = pending;
  }

  void setListed(boolean listed, boolean leaving) {
    this.listed = listed;
    this.listedLeaving = leaving;
  }

  boolean isListed() {
    return listed;
  }

  boolean isLeaving() {
    return listedLeaving || reportedLeaving;
  }

  /**
   * Returns the other instance that controlled the worker at the last status query, empty if there
   * was none. That instance may have failed since.
   */
  String otherController() {
    return otherController;
  }

  void setOtherController(String controller) {
    otherController = controller;
  }

  int consecutiveFailures() {
    return consecutiveFailures;
  }

  void recordFailure(long now) {
    if (consecutiveFailures == 0) {
      failingSinceMillis = now;
    }
    consecutiveFailures++;
  }

  /**
   * Returns for how long every call has failed, in milliseconds, or 0 if the last call succeeded.
   */
  long failingForMillis(long now) {
    return consecutiveFailures == 0 ? 0 : now - failingSinceMillis;
  }

  long lastCommandMillis() {
    return lastCommandMillis;
  }

  void recordCommand(long now) {
    lastCommandMillis = now;
  }

  long lastResponseMillis() {
    return lastResponseMillis;
  }

  void recordStatus(WorkerStatus status, long now) {
    consecutiveFailures = 0;
    lastResponseMillis = now;
    reportedLeaving = status.leaving();
    description =
        new WorkerDescription(
            status.name(),
            status.dataCentre(),
            status.rack(),
            new Resources(
                status.milliProcessors(), status.memoryMebibytes(), status.accelerators()),
            status.slots());
  }

  void setToken(long newToken) {
    token = newToken;
  }

  Optional<WorkerDescription> description() {
    return Optional.ofNullable(description);
  }
}
