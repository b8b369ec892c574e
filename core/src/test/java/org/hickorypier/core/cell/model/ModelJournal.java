package org.hickorypier.core.cell.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;

/** The journal in the store: the latest record of each key, with fencing by epoch. */
final class ModelJournal {

  final Map<String, SubmissionSpec> specs = new HashMap<>();
  final Map<String, SubmissionProgress> progress = new HashMap<>();
  final Map<String, Long> submissionNumbers = new HashMap<>();
  final Map<String, Map<String, Long>> earlyCancellations = new HashMap<>();
  List<RosterEntry> roster = List.of();
  int epoch;

  /** Applies the change, or returns false if the writer is fenced by a later epoch. */
  boolean append(int writerEpoch, Runnable change) {
    if (writerEpoch < epoch) {
      return false;
    }
    change.run();
    return true;
  }
}
