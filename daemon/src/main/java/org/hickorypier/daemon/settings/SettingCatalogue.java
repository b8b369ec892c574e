package org.hickorypier.daemon.settings;

import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** All settings of the daemon, in the order of the help. Immutable and thus thread-safe. */
final class SettingCatalogue {

  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern KEY_PATTERN =
      Pattern.compile("[A-Za-z0-9_-]{1,64}\\.[A-Za-z0-9_-]{16,256}");
  private static final Pattern HOST_AND_PORT_PATTERN =
      Pattern.compile("(?:\\[([0-9A-Fa-f:.]+)]|([A-Za-z0-9._-]+)):(\\d{1,5})");
  private static final List<String> LOG_LEVELS =
      List.of("error", "warning", "info", "debug", "trace");
  private static final int MAX_PORT = 65_535;
  private static final int MIN_SECRET_CHARACTERS = 16;

  private static final List<Setting<?>> DEFINED = new ArrayList<>();

  static final Setting<String> INSTANCE_NAME =
      defineName("name", "name", "The name of this instance, unlike those of all others.");
  static final Setting<String> DATA_CENTRE =
      defineName("data-centre", "data centre", "The data centre in which this instance runs.");
  static final Setting<String> HOST =
      add(
          new Setting<>(
              "host",
              "an IP number",
              "127.0.0.1",
              false,
              SettingCatalogue::parseIpAddress,
              "The address to listen on, and at which the peers reach this instance."));
  static final Setting<Long> HTTP_PORT =
      defineNumber("http-port", 0, MAX_PORT, 8470, "The port for callers and operators; 0 = free.");
  static final Setting<Long> PEER_PORT =
      defineNumber("peer-port", 0, MAX_PORT, 8471, "The port for the other instances; 0 = free.");
  static final Setting<HostAndPort> LOG_SERVICE =
      defineAddress("log-service", "The platform's log service.");
  static final Setting<HostAndPort> INSTANCE_LIST =
      defineAddress("instance-list", "The platform's list of instances.");
  static final Setting<Secret> PEER_SECRET =
      add(
          new Setting<>(
              "peer-secret",
              "at least " + MIN_SECRET_CHARACTERS + " characters",
              null,
              true,
              SettingCatalogue::parseSecret,
              "The secret by which the instances know one another."));
  static final Setting<Optional<Secret>> OPERATOR_KEY =
      add(
          new Setting<>(
              "operator-key",
              "keyId.secret, the secret of at least 16 letters, digits, - and _",
              "",
              true,
              SettingCatalogue::parseKey,
              "An operator's key to begin with, before any is given through the log."));
  static final Setting<String> LOG_LEVEL =
      add(
          new Setting<>(
              "log-level",
              String.join(", ", LOG_LEVELS),
              "info",
              false,
              SettingCatalogue::parseLevel,
              "The least level that is logged."));
  static final Setting<Long> LEASE_MILLIS =
      defineNumber("lease-millis", 5_000, 600_000, 30_000, "The lease of a task on its worker.");
  static final Setting<Long> RENEWAL_MILLIS =
      defineNumber(
          "renewal-millis",
          500,
          300_000,
          10_000,
          "The time between two renewals of a lease; at most half of --lease-millis.");
  static final Setting<Long> HEARTBEAT_MILLIS =
      defineNumber(
          "heartbeat-millis", 50, 20_000, 500, "The time between two heartbeats of a link.");
  static final Setting<Long> PEER_TIMEOUT_MILLIS =
      defineNumber(
          "peer-timeout-millis",
          200,
          60_000,
          2_000,
          "The silence after which a link is closed; at least 3 times --heartbeat-millis.");
  static final Setting<Long> DIGEST_MILLIS =
      defineNumber("digest-millis", 200, 60_000, 1_000, "The time between two digests to a peer.");
  static final Setting<Long> FRESHNESS_MILLIS =
      defineNumber(
          "freshness-millis",
          1_000,
          60_000,
          10_000,
          "How long new work is taken without a sign that the configuration is recent.");
  static final Setting<Long> QUEUE_LIMIT =
      defineNumber(
          "queue-limit", 1, 1_000_000, 10_000, "The most items queued of one team and class.");
  static final Setting<Long> REQUEST_BYTES_LIMIT =
      defineNumber(
          "request-bytes-limit", 1_024, 16_777_216, 1_048_576, "The largest body of a request.");
  static final Setting<Long> DEADLINE_DEFAULT_MILLIS =
      defineNumber(
          "deadline-default-millis",
          100,
          86_400_000,
          30_000,
          "The deadline of a request that names none.");
  static final Setting<Long> EVENT_LOOPS =
      defineNumber("event-loops", 1, 16, 2, "The threads that carry traffic.");
  static final Setting<Long> SHUTDOWN_MILLIS =
      defineNumber(
          "shutdown-millis",
          0,
          600_000,
          30_000,
          "How long a graceful shutdown waits for the requests in progress.");
  static final Setting<Long> CONNECTIONS_PER_WORKER =
      defineNumber(
          "connections-per-worker",
          3,
          64,
          8,
          "The most connections to one worker, which takes 64 from all instances together.");

  static final List<Setting<?>> ALL = List.copyOf(DEFINED);

  private SettingCatalogue() {}

  private static <T> Setting<T> add(Setting<T> setting) {
    DEFINED.add(setting);
    return setting;
  }

  private static Setting<String> defineName(String name, String noun, String description) {
    String allowed = "a " + noun + " of 1 to 64 letters, digits, ., _ and -";
    return add(new Setting<>(name, allowed, null, false, matching(NAME_PATTERN), description));
  }

  private static Setting<HostAndPort> defineAddress(String name, String description) {
    ValueParser<HostAndPort> parser = SettingCatalogue::parseAddress;
    return add(new Setting<>(name, "host:port", null, false, parser, description));
  }

  private static Setting<Long> defineNumber(
      String name, long min, long max, long defaultNumber, String description) {
    ValueParser<Long> parser = text -> parseNumber(text, min, max);
    String allowed = min + " to " + max;
    return add(
        new Setting<>(name, allowed, Long.toString(defaultNumber), false, parser, description));
  }

  private static ValueParser<String> matching(Pattern pattern) {
    return text -> {
      check(pattern.matcher(text).matches());
      return text;
    };
  }

  private static long parseNumber(String text, long min, long max) throws UnusableValueException {
    try {
      long number = Long.parseLong(text);
      check(number >= min && number <= max);
      return number;
    } catch (NumberFormatException error) {
      throw new UnusableValueException();
    }
  }

  private static String parseIpAddress(String text) throws UnusableValueException {
    check(NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text));
    return text;
  }

  private static HostAndPort parseAddress(String text) throws UnusableValueException {
    Matcher matcher = HOST_AND_PORT_PATTERN.matcher(text);
    check(matcher.matches());
    int port = Integer.parseInt(matcher.group(3));
    check(port >= 1 && port <= MAX_PORT);
    return new HostAndPort(matcher.group(1) != null ? matcher.group(1) : matcher.group(2), port);
  }

  private static Secret parseSecret(String text) throws UnusableValueException {
    check(text.length() >= MIN_SECRET_CHARACTERS);
    return new Secret(text);
  }

  private static Optional<Secret> parseKey(String text) throws UnusableValueException {
    if (text.isEmpty()) {
      return Optional.empty();
    }
    check(KEY_PATTERN.matcher(text).matches());
    return Optional.of(new Secret(text));
  }

  private static String parseLevel(String text) throws UnusableValueException {
    check(LOG_LEVELS.contains(text));
    return text;
  }

  private static void check(boolean allowed) throws UnusableValueException {
    if (!allowed) {
      throw new UnusableValueException();
    }
  }
}
