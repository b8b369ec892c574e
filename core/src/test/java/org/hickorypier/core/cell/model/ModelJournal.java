package org.hickorypier.core.cell.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;

/** The journal in the store: the newest of each key, and a fence by epoch. */
final class ModelJournal {

  final Map<String, SubmissionSpec> specs = new HashMap<>();
  final Map<String, SubmissionProgress> progress = new HashMap<>();
  final Map<String, Long> submissionNumbers = new HashMap<>();
  List<RosterEntry> roster = List.of();
  int epoch;

  /** Returns false if a successor has fenced the writer. */
  boolean append(int byEpoch, Runnable change) {
    if (byEpoch < epoch) {
      return false;
    }
    change.run();
    return true;
  }
}
