package org.hickorypier.daemon.operator;

import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.Team;
import org.hickorypier.core.keys.IssuedKey;
import org.hickorypier.core.keys.KeyIssuer;
import org.hickorypier.language.Statement;
import org.hickorypier.language.result.Cell;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.GiveKey;
import org.hickorypier.wire.record.ConfigurationRecord.PutDrain;
import org.hickorypier.wire.record.ConfigurationRecord.PutTeam;
import org.hickorypier.wire.record.ConfigurationRecord.WithdrawKey;

/**
 * Turns statements into records, against the configuration in force. Thread safe.
 *
 * <p>It does not foresee what the fold decides, such as whether a team exists already: a repeated
 * statement would be refused here though its first try took effect.
 */
final class ChangePlanner {

  /** Names go into the paths of workers' calls and into log lines, so they stay plain. */
  private static final Pattern TEAM_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

  /** The basis of a subject that does not exist yet. */
  static final long NEW = 0;

  private final KeyIssuer issuer;

  ChangePlanner(KeyIssuer issuer) {
    this.issuer = issuer;
  }

  PlannedChange plan(Statement.Change change, String id, Configuration configuration)
      throws UnusableChangeException {
    if (change instanceof Statement.CreateTeam create) {
      return create(create, id);
    } else if (change instanceof Statement.SetTeam set) {
      return set(set, id, configuration);
    } else if (change instanceof Statement.GiveKey give) {
      return give(give, id, configuration);
    } else if (change instanceof Statement.WithdrawKey withdraw) {
      return withdraw(withdraw, id, configuration);
    } else if (change instanceof Statement.Drain drain) {
      return drain(drain, id);
    }
    throw new IllegalStateException("change without a record: " + change);
  }

  private static PlannedChange create(Statement.CreateTeam create, String id)
      throws UnusableChangeException {
    if (!TEAM_NAME.matcher(create.team()).matches()) {
      throw new UnusableChangeException(
          "a team's name is 1 to 64 letters, digits, ., _ and -, and begins with one of the first"
              + " two");
    }
    PutTeam put = new PutTeam(id, NEW, create.team(), create.share(), create.upperLimit());
    return team(put, " created");
  }

  // Only what is named changes, so the record rests on the revision whose other value it repeats.
  // With any revision allowed, two operators who set share and limit at once would undo one
  // another.
  private static PlannedChange set(Statement.SetTeam set, String id, Configuration configuration)
      throws UnusableChangeException {
    Team team = configuration.teams().get(set.team());
    if (team == null) {
      throw new UnusableChangeException("there is no team " + set.team());
    }
    PutTeam put =
        new PutTeam(
            id,
            set.basis().orElse(team.revision()),
            set.team(),
            set.share().orElse(team.share()),
            set.upperLimit().orElse(team.upperLimit()));
    return team(put, " changed");
  }

  private static PlannedChange team(PutTeam put, String done) {
    String subject = "team " + put.team();
    String values = ": share " + Cell.of(put.share()).shown() + ", limit " + put.upperLimit();
    return new PlannedChange(put, subject, subject + done + values, "");
  }

  private PlannedChange give(Statement.GiveKey give, String id, Configuration configuration)
      throws UnusableChangeException {
    String team = give.team().orElse("");
    if (!team.isEmpty() && !configuration.teams().containsKey(team)) {
      throw new UnusableChangeException("there is no team " + team);
    }
    IssuedKey key = issuer.issue();
    String holder = team.isEmpty() ? "the operators" : "team " + team;
    return new PlannedChange(
        new GiveKey(id, NEW, key.keyId(), team, key.salt(), key.hash()),
        "key " + key.keyId(),
        "key " + key.keyId() + " given to " + holder,
        key.presented());
  }

  private static PlannedChange withdraw(
      Statement.WithdrawKey withdraw, String id, Configuration configuration)
      throws UnusableChangeException {
    String keyId = withdraw.keyId();
    if (!configuration.keys().containsKey(keyId)) {
      throw new UnusableChangeException("there is no key " + keyId);
    }
    WithdrawKey change = new WithdrawKey(id, basis(withdraw.basis()), keyId);
    return new PlannedChange(change, "key " + keyId, "key " + keyId + " withdrawn", "");
  }

  private static PlannedChange drain(Statement.Drain drain, String id) {
    String subject = drain.target().word() + " " + drain.name();
    String done = drain.draining() ? " takes no new work" : " takes new work again";
    return new PlannedChange(
        new PutDrain(id, basis(drain.basis()), drain.name(), drain.draining()),
        "the drain of " + subject,
        subject + done,
        "");
  }

  private static long basis(OptionalLong given) {
    return given.orElse(ConfigurationRecord.ANY_REVISION);
  }
}
