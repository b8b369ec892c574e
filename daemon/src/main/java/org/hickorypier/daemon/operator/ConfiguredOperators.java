package org.hickorypier.daemon.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.function.Supplier;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.keys.KeyVerifier;
import org.hickorypier.daemon.settings.Secret;

/**
 * The operators' keys of the configuration, and the one of the settings to begin with.
 *
 * <p>Belongs to the control thread. The key of the settings is the only way in before any key was
 * given through the log. It stays valid for as long as the setting is there, so that operators who
 * lost all their keys are not locked out; whoever can set it owns the instances anyway.
 */
public final class ConfiguredOperators implements OperatorAuthenticator {

  private final Supplier<Configuration> configuration;
  private final Optional<Secret> firstKey;

  /**
   * Creates the check.
   *
   * @param configuration returns the configuration in force
   * @param firstKey the key of the settings, if there is one
   */
  public ConfiguredOperators(Supplier<Configuration> configuration, Optional<Secret> firstKey) {
    this.configuration = configuration;
    this.firstKey = firstKey;
  }

  @Override
  public boolean isOperator(String presented) {
    return KeyVerifier.check(configuration.get(), presented).isOperator()
        || firstKey.filter(key -> matches(key, presented)).isPresent();
  }

  // A comparison that ends at the first difference tells by its time how many characters were
  // right.
  private static boolean matches(Secret key, String presented) {
    return MessageDigest.isEqual(
        key.reveal().getBytes(StandardCharsets.UTF_8), presented.getBytes(StandardCharsets.UTF_8));
  }
}
