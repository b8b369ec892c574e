package org.hickorypier.measure.soak;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.hickorypier.measure.fleet.FleetException;
import org.hickorypier.measure.fleet.JavaProcess;
import org.hickorypier.platform.http.ServiceAddress;
import org.hickorypier.standins.http.LoopbackPort;

/**
 * One instance as a process, with a proxy on each side of it: to the store, from the other
 * instances, from callers.
 *
 * <p>Thread safe. Only the process that this object started is ever signalled.
 */
final class InstanceProcess implements AutoCloseable {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int HEAP_MEBIBYTES = 64;

  /** The bounds of the users' installations. */
  private static final int GRACE_SECONDS = 6;

  private static final int LONGEST_LEASE_MILLIS = 10_000;
  private static final int GANG_MILLIS = 3_000;
  private static final int REVOKE_MILLIS = 5_000;
  private static final int STATE_KEPT_SECONDS = 120;
  private static final int LEAST_LIFETIME_MILLIS = 1_000;
  private static final double LINK_MEGABITS = 1_000;

  final LoopbackProxy store;
  final LoopbackProxy links;
  final LoopbackProxy callers;
  private final String name;
  private final Path settingsFile;
  private final ServiceAddress front;
  private final ServiceAddress ready;
  private final String linkAddress;
  private final StringBuilder output = new StringBuilder();
  private JavaProcess process;

  InstanceProcess(Vertx vertx, int index, Path folder, ServiceAddress storeAddress)
      throws SoakException {
    name = "instance-" + index;
    store = new LoopbackProxy(vertx);
    store.target(storeAddress);
    links = new LoopbackProxy(vertx);
    callers = new LoopbackProxy(vertx);
    try {
      int peerPort = LoopbackPort.free();
      front = new ServiceAddress(LOOPBACK, LoopbackPort.free());
      ready = new ServiceAddress(LOOPBACK, LoopbackPort.free());
      links.target(new ServiceAddress(LOOPBACK, peerPort));
      callers.target(front);
      linkAddress = "" + Waiting.forResult(links.listen());
      JsonObject settings =
          new JsonObject()
              .put("name", name)
              .put("dataCentre", "a")
              .put("address", LOOPBACK)
              .put("peerPort", peerPort)
              .put("advertisedPeer", linkAddress)
              .put("metricsPort", 0)
              .put("front", "" + front)
              .put("ready", "" + ready)
              .put("store", "" + Waiting.forResult(store.listen()))
              .put("advisor", "")
              .put("processorShare", 1)
              .put("processorSpeed", 1)
              .put("linkMegabits", LINK_MEGABITS)
              .put("longestLeaseMillis", LONGEST_LEASE_MILLIS)
              .put("gangMillis", GANG_MILLIS)
              .put("revokeMillis", REVOKE_MILLIS)
              .put("stateKeptSeconds", STATE_KEPT_SECONDS)
              .put("graceSeconds", GRACE_SECONDS)
              .put("leastGroupLifetimeMillis", LEAST_LIFETIME_MILLIS)
              .put("workerHeartbeatMillis", StandInWorker.HEARTBEAT_MILLIS);
      settingsFile = folder.resolve(name + ".json");
      Files.writeString(settingsFile, settings.encodePrettily());
    } catch (IOException error) {
      throw new SoakException(name + " cannot be set up", error);
    }
  }

  ServiceAddress ready() {
    return ready;
  }

  /** Returns the address at which the other instances reach this one. */
  String linkAddress() {
    return linkAddress;
  }

  String name() {
    return name;
  }

  /** Starts the process, unless it runs. */
  synchronized void start() throws FleetException {
    if (process == null || !process.isAlive()) {
      keepOutput();
      process =
          JavaProcess.start(
              name,
              SoakInstance.class.getName(),
              HEAP_MEBIBYTES,
              Map.of(),
              List.of(settingsFile.toString()));
    }
  }

  synchronized void kill() throws FleetException {
    process.kill();
  }

  synchronized void terminate() {
    process.terminate();
  }

  synchronized boolean runs() {
    return process.isAlive();
  }

  synchronized void pause() throws FleetException {
    if (process.isAlive()) {
      process.pause();
    }
  }

  synchronized void resume() throws FleetException {
    if (process.isAlive()) {
      process.resume();
    }
  }

  synchronized void stepClock(long millis) throws FleetException {
    try {
      process.send("step " + millis);
    } catch (FleetException error) {
      // A process that has just ended takes nothing any more; the next one has a right clock.
      if (process.isAlive()) {
        throw error;
      }
    }
  }

  /** Returns what the process and those before it have written. */
  synchronized String output() {
    keepOutput();
    return output.toString();
  }

  private void keepOutput() {
    if (process != null) {
      output.append("== process ").append(process.id()).append('\n').append(process.output());
      output.append('\n');
    }
  }

  @Override
  public synchronized void close() {
    if (process != null) {
      process.close();
    }
  }
}
