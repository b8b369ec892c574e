package org.hickorypier.daemon.settings;

import java.util.List;
import java.util.Map;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Reads the daemon's settings from flags and environment variables.
 *
 * <p>A flag takes precedence over its variable, and the variable over the default. All problems are
 * reported together, because an operator who restarts a daemon once per mistake loses time during
 * an incident. Stateless and thus thread-safe.
 */
public final class SettingsReader {

  static final String HELP = "help";
  static final String PRINT_SETTINGS = "print-settings";

  private static final int MIN_RENEWALS_PER_LEASE = 2;
  private static final int MIN_HEARTBEATS_PER_TIMEOUT = 3;

  /**
   * Reads the settings.
   *
   * @param arguments the command line
   * @param environment the environment variables
   * @return the settings to use, or the text to print
   * @throws SettingsException if any setting is unusable; lists all problems
   */
  public SettingsResult read(List<String> arguments, Map<String, String> environment)
      throws SettingsException {
    ResolvedSettings resolved = new ResolvedSettings();
    FlagValues flags = FlagValues.parse(options(), arguments, resolved);
    if (flags.has(HELP)) {
      return new SettingsResult.Print(SettingsText.help());
    }
    for (Setting<?> setting : SettingCatalogue.ALL) {
      resolve(setting, flags, environment, resolved);
    }
    checkRenewals(resolved);
    checkHeartbeats(resolved);
    if (!resolved.problems().isEmpty()) {
      throw new SettingsException(resolved.problems());
    }
    return flags.has(PRINT_SETTINGS)
        ? new SettingsResult.Print(SettingsText.values(resolved))
        : new SettingsResult.Use(build(resolved));
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(Option.builder().longOpt(HELP).get());
    options.addOption(Option.builder().longOpt(PRINT_SETTINGS).get());
    for (Setting<?> setting : SettingCatalogue.ALL) {
      options.addOption(Option.builder().longOpt(setting.name()).hasArg().optionalArg(true).get());
    }
    return options;
  }

  private static void resolve(
      Setting<?> setting,
      FlagValues flags,
      Map<String, String> environment,
      ResolvedSettings resolved) {
    String variable = environment.get(setting.variable());
    if (flags.has(setting.name())) {
      resolveFlag(setting, flags.values(setting.name()), resolved);
    } else if (variable != null) {
      resolved.parseAndAdd(setting, variable, SettingSource.ENVIRONMENT);
    } else if (setting.defaultText() != null) {
      resolved.parseAndAdd(setting, setting.defaultText(), SettingSource.DEFAULT);
    } else {
      resolved.addProblem(setting.flag(), "", setting.allowed());
    }
  }

  private static void resolveFlag(
      Setting<?> setting, List<String> values, ResolvedSettings resolved) {
    if (values.size() > 1) {
      String maskedValues = String.join(" ", values.stream().map(setting::maskedText).toList());
      resolved.addProblem(setting.flag(), maskedValues, "one value, given once");
    } else if (values.isEmpty() || values.get(0).isEmpty()) {
      resolved.addProblem(setting.flag(), "", setting.allowed());
    } else {
      resolved.parseAndAdd(setting, values.get(0), SettingSource.FLAG);
    }
  }

  // With fewer than two renewals per lease, one lost answer lets the lease expire and the worker
  // stops a task that should continue. Half the lease leaves time for one retry.
  private static void checkRenewals(ResolvedSettings resolved) {
    if (!resolved.has(SettingCatalogue.LEASE_MILLIS)
        || !resolved.has(SettingCatalogue.RENEWAL_MILLIS)) {
      return;
    }
    long maxRenewal = resolved.get(SettingCatalogue.LEASE_MILLIS) / MIN_RENEWALS_PER_LEASE;
    long renewal = resolved.get(SettingCatalogue.RENEWAL_MILLIS);
    if (renewal > maxRenewal) {
      resolved.addProblem(
          SettingCatalogue.RENEWAL_MILLIS.flag(),
          Long.toString(renewal),
          "at most half of --lease-millis, here " + maxRenewal);
    }
  }

  // With fewer than three heartbeats per timeout, one delayed packet closes a working link, and all
  // peers see this instance disconnect and reconnect. Three tolerate the loss of two heartbeats.
  private static void checkHeartbeats(ResolvedSettings resolved) {
    if (!resolved.has(SettingCatalogue.HEARTBEAT_MILLIS)
        || !resolved.has(SettingCatalogue.PEER_TIMEOUT_MILLIS)) {
      return;
    }
    long minTimeout = resolved.get(SettingCatalogue.HEARTBEAT_MILLIS) * MIN_HEARTBEATS_PER_TIMEOUT;
    long timeout = resolved.get(SettingCatalogue.PEER_TIMEOUT_MILLIS);
    if (timeout < minTimeout) {
      resolved.addProblem(
          SettingCatalogue.PEER_TIMEOUT_MILLIS.flag(),
          Long.toString(timeout),
          "at least 3 times --heartbeat-millis, here " + minTimeout);
    }
  }

  private static DaemonSettings build(ResolvedSettings resolved) {
    return new DaemonSettings(
        resolved.get(SettingCatalogue.INSTANCE_NAME),
        resolved.get(SettingCatalogue.DATA_CENTRE),
        resolved.get(SettingCatalogue.HOST),
        resolved.getInt(SettingCatalogue.HTTP_PORT),
        resolved.getInt(SettingCatalogue.PEER_PORT),
        resolved.get(SettingCatalogue.LOG_SERVICE),
        resolved.get(SettingCatalogue.INSTANCE_LIST),
        resolved.get(SettingCatalogue.PEER_SECRET),
        resolved.get(SettingCatalogue.OPERATOR_KEY),
        resolved.get(SettingCatalogue.LOG_LEVEL),
        resolved.get(SettingCatalogue.LEASE_MILLIS),
        resolved.get(SettingCatalogue.RENEWAL_MILLIS),
        resolved.get(SettingCatalogue.HEARTBEAT_MILLIS),
        resolved.get(SettingCatalogue.PEER_TIMEOUT_MILLIS),
        resolved.get(SettingCatalogue.DIGEST_MILLIS),
        resolved.get(SettingCatalogue.FRESHNESS_MILLIS),
        resolved.getInt(SettingCatalogue.QUEUE_LIMIT),
        resolved.getInt(SettingCatalogue.REQUEST_BYTES_LIMIT),
        resolved.get(SettingCatalogue.DEADLINE_DEFAULT_MILLIS),
        resolved.getInt(SettingCatalogue.EVENT_LOOPS),
        resolved.get(SettingCatalogue.SHUTDOWN_MILLIS),
        resolved.getInt(SettingCatalogue.CONNECTIONS_PER_WORKER));
  }
}
