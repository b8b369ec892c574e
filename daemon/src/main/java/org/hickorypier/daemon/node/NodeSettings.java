package org.hickorypier.daemon.node;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.DecisionSettings;
import org.hickorypier.core.cell.InterruptionCost;
import org.hickorypier.core.intake.IntakeLimits;
import org.hickorypier.daemon.owner.Strength;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * The settings of one instance, read from the JSON file that the platform provides.
 *
 * <p>Immutable.
 *
 * @param name the instance's name
 * @param address its address
 * @param peerPort the port on which it listens for other instances
 * @param advertisedPeer the address at which other instances reach it, which differs from its own
 *     behind a forwarder
 * @param metricsPort the port on which metrics are served as text, or 0 for none
 * @param front the address at which callers reach it
 * @param ready the address of the readiness check of the load balancer
 * @param store the address of the platform's store
 * @param advisor the address of the advisor, or null if there is none
 * @param cellTimings the durations that the owner of a cell applies
 * @param strength the load that the machine can carry as an owner
 * @param revokeMillis the time within which a revoked key must stop working
 * @param groupLifetimeMillis the time without a heartbeat after which a group member loses its
 *     partitions
 * @param graceMillis the time that a process has to exit after SIGTERM
 * @param workerHeartbeatMillis the interval at which a worker writes its entry in the list of
 *     workers
 * @param linkMegabits the bandwidth of this machine's link, in Mbit/s
 * @param processors the cores of this machine, of which a part counts too
 * @param intake the limits of what all callers hold together
 */
public record NodeSettings(
    String name,
    String address,
    int peerPort,
    ServiceAddress advertisedPeer,
    int metricsPort,
    ServiceAddress front,
    ServiceAddress ready,
    ServiceAddress store,
    ServiceAddress advisor,
    CellTimings cellTimings,
    Strength strength,
    long revokeMillis,
    long groupLifetimeMillis,
    long graceMillis,
    long workerHeartbeatMillis,
    double linkMegabits,
    double processors,
    IntakeLimits intake) {

  /**
   * Time without a heartbeat after which the group assigns a lost owner's cell to another instance.
   * Three heartbeats are missed by then; with a shorter time, a reply of the store that takes 0.3 s
   * causes a takeover.
   */
  private static final long MIN_GROUP_LIFETIME_MILLIS = 1_500;

  private static final double MIN_PROCESSOR_SHARE = 0.01;
  private static final double MIN_LINK_MEGABITS = 0.1;

  /**
   * The time of three reads of the configuration. With a shorter time, each lost reply would lead
   * to refused callers.
   */
  private static final long MIN_REVOKE_MILLIS = 500;

  private static final String EVACUATION_MILLIS = "evacuationMillis";

  private static final long MIN_EVACUATION_MILLIS = 500;

  private static final String CALLER_CONNECTIONS = "callerConnections";
  private static final int MIN_CALLER_CONNECTIONS = 16;
  private static final int DEFAULT_CALLER_CONNECTIONS = 2_000;
  private static final String INTAKE_MEBIBYTES = "intakeMebibytes";
  private static final int MIN_INTAKE_MEBIBYTES = 1;
  private static final long BYTES_PER_MEBIBYTE = 1 << 20;

  /** Callers hold at most one of this many parts of the heap, unless the setting says otherwise. */
  private static final int INTAKE_PART = 4;

  private static final long MILLIS_PER_SECOND = 1_000;

  /**
   * Reads the settings file.
   *
   * @param file the file
   * @return the settings
   * @throws SettingsFileException if the file cannot be read, or if a value is missing, of another
   *     type or out of range; the message names the value
   */
  public static NodeSettings read(Path file) throws SettingsFileException {
    try {
      return decode(new JsonObject(Files.readString(file)));
    } catch (IOException | DecodeException error) {
      throw new SettingsFileException(file + ": " + error.getMessage(), error);
    }
  }

  /**
   * Decodes the settings.
   *
   * @param json the file's content
   * @return the settings
   * @throws SettingsFileException if a value is missing, of another type or out of range; the
   *     message names the value
   */
  public static NodeSettings decode(JsonObject json) throws SettingsFileException {
    Reader reader = new Reader(json);
    long groupLifetimeMillis =
        Math.max(MIN_GROUP_LIFETIME_MILLIS, (long) reader.number("leastGroupLifetimeMillis", 1));
    long graceMillis = Math.round(reader.number("graceSeconds", 1) * MILLIS_PER_SECOND);
    double processors =
        reader.number("processorShare", MIN_PROCESSOR_SHARE)
            * reader.number("processorSpeed", MIN_PROCESSOR_SHARE);
    double linkMegabits = reader.number("linkMegabits", MIN_LINK_MEGABITS);
    return new NodeSettings(
        reader.text("name"),
        reader.text("address"),
        (int) reader.number("peerPort", 1),
        json.containsKey("advertisedPeer")
            ? reader.service("advertisedPeer")
            : new ServiceAddress(reader.text("address"), (int) reader.number("peerPort", 1)),
        (int) reader.number("metricsPort", 0),
        reader.service("front"),
        reader.service("ready"),
        reader.service("store"),
        json.getString("advisor", "").isEmpty() ? null : reader.service("advisor"),
        reader.cellTimings(),
        Strength.of(processors, linkMegabits),
        (long) reader.number("revokeMillis", MIN_REVOKE_MILLIS),
        groupLifetimeMillis,
        graceMillis,
        (long) reader.number("workerHeartbeatMillis", 1),
        linkMegabits,
        processors,
        reader.intake());
  }

  /** Reads values and reports an invalid one by its name. */
  private record Reader(JsonObject json) {

    String text(String name) throws SettingsFileException {
      if (json.getValue(name) instanceof String text && !text.isEmpty()) {
        return text;
      }
      throw new SettingsFileException(
          name + " is " + json.getValue(name) + "; expected a non-empty string", null);
    }

    CellTimings cellTimings() throws SettingsFileException {
      CellTimings timings =
          CellTimings.of(
              (long) number("longestLeaseMillis", 1),
              (long) number("gangMillis", 1),
              Math.round(number("stateKeptSeconds", 1) * MILLIS_PER_SECOND));
      CellTimings withDecisions = timings.withDecisions(decisions());
      return json.containsKey(EVACUATION_MILLIS)
          ? withDecisions.withEvacuationMillis(
              (long) number(EVACUATION_MILLIS, MIN_EVACUATION_MILLIS))
          : withDecisions;
    }

    DecisionSettings decisions() throws SettingsFileException {
      return new DecisionSettings(
          flag("preemption"),
          flag("admission"),
          flag("fairShares"),
          flag("workerSpeeds"),
          interruptionCost());
    }

    IntakeLimits intake() throws SettingsFileException {
      int connections =
          json.containsKey(CALLER_CONNECTIONS)
              ? (int) number(CALLER_CONNECTIONS, MIN_CALLER_CONNECTIONS)
              : DEFAULT_CALLER_CONNECTIONS;
      long bytes =
          json.containsKey(INTAKE_MEBIBYTES)
              ? (long) (number(INTAKE_MEBIBYTES, MIN_INTAKE_MEBIBYTES) * BYTES_PER_MEBIBYTE)
              : Runtime.getRuntime().maxMemory() / INTAKE_PART;
      return new IntakeLimits(connections, bytes);
    }

    /** Reads the cost of an interruption, which is known only if all of its parts are given. */
    private Optional<InterruptionCost> interruptionCost() throws SettingsFileException {
      if (!json.containsKey("stopMillis")
          || !json.containsKey("restoreMillis")
          || !json.containsKey("saveSeconds")) {
        return Optional.empty();
      }
      return Optional.of(
          new InterruptionCost(
              (long) number("stopMillis", 0),
              (long) number("restoreMillis", 0),
              Math.round(number("saveSeconds", 0) * MILLIS_PER_SECOND)));
    }

    /** Reads a switch, which is on unless it is given as false. */
    private boolean flag(String name) throws SettingsFileException {
      Object value = json.getValue(name, true);
      if (value instanceof Boolean flag) {
        return flag;
      }
      throw new SettingsFileException(name + " is " + value + "; expected true or false", null);
    }

    double number(String name, double minimum) throws SettingsFileException {
      if (json.getValue(name) instanceof Number number && number.doubleValue() >= minimum) {
        return number.doubleValue();
      }
      throw new SettingsFileException(
          name + " is " + json.getValue(name) + "; expected a number of at least " + minimum, null);
    }

    ServiceAddress service(String name) throws SettingsFileException {
      String text = text(name);
      try {
        return ServiceAddress.parse(text);
      } catch (IllegalArgumentException error) {
        throw new SettingsFileException(
            name + " is " + text + "; expected host:port with a port from 1 to 65535", error);
      }
    }
  }
}
