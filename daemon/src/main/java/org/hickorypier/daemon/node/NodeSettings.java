package org.hickorypier.daemon.node;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.daemon.owner.Strength;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * The settings of one instance, read from the JSON file that the platform fills in.
 *
 * <p>Immutable.
 *
 * @param name the instance's name
 * @param address its address
 * @param peerPort where it listens for other instances
 * @param advertisedPeer where other instances reach it, which differs behind a forwarder
 * @param metricsPort where metrics are served as text, or 0 for nowhere
 * @param front where callers reach it
 * @param ready where the balancer asks whether it takes connections
 * @param store where the platform's store listens
 * @param advisor where the advisor listens, or null where there is none
 * @param cell the figures for the owner of a cell
 * @param strength what the machine can carry as an owner
 * @param revokeMillis within this time a withdrawn key must stop working
 * @param groupLifetimeMillis after so long without a sign a member loses its partitions
 * @param graceMillis how long a process may take to end after SIGTERM
 * @param workerHeartbeatMillis how often a worker writes its entry in the list of workers
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
    CellTimings cell,
    Strength strength,
    long revokeMillis,
    long groupLifetimeMillis,
    long graceMillis,
    long workerHeartbeatMillis) {

  /**
   * After so long without a sign the group deals a lost owner's cell to another instance. Three
   * signs are missed then; shorter, and an answer of the store that takes 0.3 s costs a takeover.
   */
  private static final long WANTED_LIFETIME_MILLIS = 1_500;

  private static final double LEAST_PROCESSOR_SHARE = 0.01;
  private static final double LEAST_LINK_MEGABITS = 0.1;

  /** Shorter than three reads of the configuration, and each lost answer would refuse callers. */
  private static final long LEAST_REVOKE_MILLIS = 500;

  private static final long SECOND_MILLIS = 1_000;

  /**
   * Reads the settings.
   *
   * @param file the file
   * @return the settings
   * @throws SettingsFileException if a value is missing or of another type; it names the value
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
   * @throws SettingsFileException if a value is missing or of another type; it names the value
   */
  public static NodeSettings decode(JsonObject json) throws SettingsFileException {
    Reader reader = new Reader(json);
    long lifetime =
        Math.max(WANTED_LIFETIME_MILLIS, (long) reader.number("leastGroupLifetimeMillis", 1));
    long grace = Math.round(reader.number("graceSeconds", 1) * SECOND_MILLIS);
    long kept = Math.round(reader.number("stateKeptSeconds", 1) * SECOND_MILLIS);
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
        CellTimings.of(
            (long) reader.number("longestLeaseMillis", 1),
            (long) reader.number("gangMillis", 1),
            kept),
        Strength.of(
            reader.number("processorShare", LEAST_PROCESSOR_SHARE)
                * reader.number("processorSpeed", LEAST_PROCESSOR_SHARE),
            reader.number("linkMegabits", LEAST_LINK_MEGABITS)),
        (long) reader.number("revokeMillis", LEAST_REVOKE_MILLIS),
        lifetime,
        grace,
        (long) reader.number("workerHeartbeatMillis", 1));
  }

  /** Reads values, and names the one that cannot be used. */
  private record Reader(JsonObject json) {

    String text(String name) throws SettingsFileException {
      if (json.getValue(name) instanceof String text && !text.isEmpty()) {
        return text;
      }
      throw new SettingsFileException(
          name + " is " + json.getValue(name) + ", wanted is a text that is not empty", null);
    }

    double number(String name, double least) throws SettingsFileException {
      if (json.getValue(name) instanceof Number number && number.doubleValue() >= least) {
        return number.doubleValue();
      }
      throw new SettingsFileException(
          name + " is " + json.getValue(name) + ", wanted is a number from " + least, null);
    }

    ServiceAddress service(String name) throws SettingsFileException {
      String text = text(name);
      try {
        return ServiceAddress.parse(text);
      } catch (IllegalArgumentException error) {
        throw new SettingsFileException(
            name + " is " + text + ", wanted is host:port with a port from 1 to 65535", error);
      }
    }
  }
}
