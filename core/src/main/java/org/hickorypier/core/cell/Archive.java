package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.submission.SubmissionCodec;

/**
 * Converts ended submissions to their archived form, and deletes that, and the cancellations of
 * submissions that never came, after the retention time.
 *
 * <p>The archived form lacks the text that workers get, nine tenths of a specification. The store
 * keeps it too, so that a takeover reads the texts of open submissions only: with those of the last
 * two minutes it would read some megabytes, for which a slow link takes longer than callers wait.
 *
 * <p>Invariant: a submission is archived only once its end state is durable and visible. Confined
 * to the control thread.
 */
final class Archive {

  private final CellState cell;

  Archive(CellState cell) {
    this.cell = cell;
  }

  void tick(long wallMillis) {
    List<Submission> archivable = new ArrayList<>();
    for (Submission submission : cell.submissions.values()) {
      if (submission.state.isTerminal() && submission.endedAtMillis == 0) {
        submission.endedAtMillis = wallMillis;
        cell.recordChange(submission);
      } else if (submission.state.isTerminal() && submission.visibleState == submission.state) {
        archivable.add(submission);
      }
    }
    archivable.forEach(this::archive);
    removeExpired(wallMillis);
    cell.earlyCancellations
        .removeExpired(wallMillis, cell.timings.endStateRetentionMillis())
        .forEach(cell::saveEarlyCancellations);
  }

  private void archive(Submission submission) {
    String id = submission.spec().id();
    byte[] spec = SubmissionCodec.encode(submission.spec().withoutText());
    cell.submissions.remove(id);
    cell.endedSubmissions.put(
        id,
        new EndedSubmission(
            submission.spec().customer(), submission.state, submission.endedAtMillis, spec));
    cell.output.saveEnded(id, spec);
  }

  private void removeExpired(long wallMillis) {
    Iterator<Map.Entry<String, EndedSubmission>> ended =
        cell.endedSubmissions.entrySet().iterator();
    while (ended.hasNext()) {
      Map.Entry<String, EndedSubmission> next = ended.next();
      if (wallMillis - next.getValue().endedAtMillis() > cell.timings.endStateRetentionMillis()) {
        ended.remove();
        cell.output.drop(next.getKey());
      }
    }
  }
}
