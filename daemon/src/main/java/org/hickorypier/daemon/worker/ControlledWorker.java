package org.hickorypier.daemon.worker;

import java.util.Optional;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.model.WorkerDescription;
import org.hickorypier.platform.worker.WorkerService;
import org.hickorypier.platform.worker.WorkerStatus;

/**
 * The state of one worker in the eyes of this instance.
 *
 * <p>Belongs to the control thread. Invariant: the token is 0 unless the worker granted it to us
 * and has not yet refused it.
 */
final class ControlledWorker {

  private final String name;
  private final String address;
  private final WorkerService service;
  private boolean listedLeaving;
  private boolean listed = true;
  private boolean callOpen;
  private long token;
  private long lastOrderMillis;
  private long lastHeardMillis;
  private int failures;
  private long failingSinceMillis;
  private WorkerDescription description;
  private boolean saysLeaving;
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

  boolean isHeld() {
    return token != 0;
  }

  long token() {
    return token;
  }

  void release() {
    token = 0;
  }

  boolean isCallOpen() {
    return callOpen;
  }

  void setCallOpen(boolean open) {
    callOpen = open;
  }

  void setListed(boolean listed, boolean leaving) {
    this.listed = listed;
    this.listedLeaving = leaving;
  }

  boolean isListed() {
    return listed;
  }

  boolean isLeaving() {
    return listedLeaving || saysLeaving;
  }

  /**
   * Returns the other instance that controlled it when it was last asked, empty if none did. That
   * instance may have been lost since.
   */
  String otherController() {
    return otherController;
  }

  void setOtherController(String controller) {
    otherController = controller;
  }

  int failures() {
    return failures;
  }

  void failed(long now) {
    if (failures == 0) {
      failingSinceMillis = now;
    }
    failures++;
  }

  /** For how long every call has failed, 0 if the last one was answered. */
  long millisFailing(long now) {
    return failures == 0 ? 0 : now - failingSinceMillis;
  }

  long lastOrderMillis() {
    return lastOrderMillis;
  }

  void ordered(long now) {
    lastOrderMillis = now;
  }

  long lastHeardMillis() {
    return lastHeardMillis;
  }

  void heard(WorkerStatus status, long now) {
    failures = 0;
    lastHeardMillis = now;
    saysLeaving = status.leaving();
    description =
        new WorkerDescription(
            status.name(),
            status.dataCentre(),
            status.rack(),
            new Resources(
                status.milliProcessors(), status.memoryMebibytes(), status.accelerators()),
            status.slots());
  }

  void granted(long newToken) {
    token = newToken;
  }

  Optional<WorkerDescription> description() {
    return Optional.ofNullable(description);
  }
}
