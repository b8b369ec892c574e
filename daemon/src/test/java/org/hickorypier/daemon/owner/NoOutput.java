package org.hickorypier.daemon.owner;

import java.util.List;
import java.util.Map;
import org.hickorypier.core.cell.CellOutput;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.Run;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.StepRun;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.cell.WorkerView;

/** Sends and writes nothing; tests override what they observe. */
class NoOutput implements CellOutput {

  @Override
  public void start(Run run, long deadline, String ticket) {}

  @Override
  public void stop(WorkerView worker, RunKey run) {}

  @Override
  public boolean advise(StepRun step, List<WorkerView> workers) {
    return false;
  }

  @Override
  public void save(Submission submission) {}

  @Override
  public void saveEnded(String id, byte[] spec) {}

  @Override
  public void drop(String id) {}

  @Override
  public void saveEarlyCancellations(String id, Map<String, Long> cancelledAtMillis) {}

  @Override
  public void afterSave(Runnable action) {}

  @Override
  public void saveRoster(List<RosterEntry> entries, Runnable written) {}
}
