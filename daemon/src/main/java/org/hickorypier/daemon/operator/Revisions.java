package org.hickorypier.daemon.operator;

import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.Drain;
import org.hickorypier.core.configuration.Key;
import org.hickorypier.core.configuration.Team;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.GiveKey;
import org.hickorypier.wire.record.ConfigurationRecord.PutDrain;
import org.hickorypier.wire.record.ConfigurationRecord.PutTeam;
import org.hickorypier.wire.record.ConfigurationRecord.WithdrawKey;

/** Finds the revision of the subject of a change. Stateless. */
final class Revisions {

  private Revisions() {}

  /** Returns the revision, 0 if there is no such subject. */
  static long of(Configuration configuration, ConfigurationRecord change) {
    if (change instanceof PutTeam put) {
      Team team = configuration.teams().get(put.team());
      return team == null ? 0 : team.revision();
    } else if (change instanceof PutDrain put) {
      Drain drain = configuration.drains().get(put.name());
      return drain == null ? 0 : drain.revision();
    } else if (change instanceof WithdrawKey withdraw) {
      return revision(configuration.keys().get(withdraw.keyId()));
    } else if (change instanceof GiveKey give) {
      return revision(configuration.keys().get(give.keyId()));
    }
    return 0;
  }

  private static long revision(Key key) {
    return key == null ? 0 : key.revision();
  }
}
