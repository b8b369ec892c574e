package org.hickorypier.wire.message;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.message.PeerMessage.Digest;
import org.hickorypier.wire.message.PeerMessage.DigestChange;

/**
 * Puts the digests of one link together again; see {@link DigestWriter}.
 *
 * <p>Invariant: it holds at most {@link #MAX_NAMES} names. Not thread safe.
 */
public final class DigestReader {

  /** Far more than a cell has teams; a broken peer that names more has its link closed. */
  static final int MAX_NAMES = 10_000;

  private final List<String> names = new ArrayList<>();
  private final Map<String, TeamUse> uses = new TreeMap<>();

  /**
   * Takes in a change.
   *
   * @param change the next change of the link
   * @return the digest as it stands now
   * @throws UndecodableException if the change does not follow those before
   */
  public Digest read(DigestChange change) throws UndecodableException {
    if (change.fresh()) {
      names.clear();
      uses.clear();
    }
    if (names.size() + change.names().size() > MAX_NAMES) {
      throw new UndecodableException("digest names too many teams", null);
    }
    names.addAll(change.names());
    for (NumberedUse use : change.uses()) {
      apply(use);
    }
    return new Digest(
        change.configurationOffset(),
        change.logAgeMillis(),
        change.taking(),
        change.milliProcessors(),
        change.memoryMebibytes(),
        change.accelerators(),
        change.slots(),
        change.waiting(),
        List.copyOf(uses.values()));
  }

  private void apply(NumberedUse use) throws UndecodableException {
    if (use.team() < 0 || use.team() >= names.size()) {
      throw new UndecodableException("digest uses unnamed team " + use.team(), null);
    }
    String team = names.get(use.team());
    TeamUse named =
        new TeamUse(
            team,
            use.running(),
            use.waiting(),
            use.milliProcessors(),
            use.memoryMebibytes(),
            use.accelerators());
    if (DigestWriter.isNothing(named)) {
      uses.remove(team);
    } else {
      uses.put(team, named);
    }
  }
}
