package org.hickorypier.core.cell.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CellOutput;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.DecisionSettings;
import org.hickorypier.core.cell.EvacuationReading;
import org.hickorypier.core.cell.InterruptionCost;
import org.hickorypier.core.cell.RenewalReport;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.Run;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.StartAnswer;
import org.hickorypier.core.cell.StartOutcome;
import org.hickorypier.core.cell.StepRun;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.cell.WorkerView;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionProgress;
import org.hickorypier.core.submission.SubmissionSpec;

/**
 * One owner: a real {@link Cell} that is connected to the simulated journal, network and workers.
 */
final class ModelOwner implements CellOutput {

  private static final CellTimings TERMS =
      CellTimings.of(ModelWorker.MAX_LEASE_MILLIS, 3_000, 600_000)
          .withEvacuationMillis(5_000)
          .withDecisions(
              new DecisionSettings(
                  true, true, true, true, Optional.of(new InterruptionCost(20, 20, 100))));

  /** Longest wait of a read of the evacuations. */
  private static final int MAX_EVACUATION_READ_MILLIS = 1_000;

  private static final long ORDER_TIMEOUT_MILLIS = 400;

  /**
   * Whether a renewal acknowledges ends as long as it waits, not only when it arrives:
   * KNOWN-RED.txt.
   */
  private static final boolean ACKNOWLEDGES_WHILE_WAITING =
      Boolean.getBoolean("model.acknowledges.while.waiting");

  final int epoch;
  final Cell cell;
  private final ModelCluster cluster;
  private final VirtualTime time;
  private final Set<Submission> unsavedSubmissions = new LinkedHashSet<>();
  private final Map<String, Map<String, Long>> unsavedEarlyCancellations = new HashMap<>();
  private List<Runnable> afterSaveActions = new ArrayList<>();
  private List<RosterEntry> rosterToWrite;
  private boolean writeInProgress;
  private long ownershipProvenAtMillis;
  boolean ended;

  /** Ids of the workers that are partitioned from this owner, in both directions. */
  final Set<String> unreachableWorkers = new HashSet<>();

  /** Whether this owner is partitioned from the store. */
  boolean storeUnreachable;

  private final Map<WorkerView, Boolean> renewedWorkers = new HashMap<>();

  ModelOwner(ModelCluster cluster, int epoch) {
    this.cluster = cluster;
    this.time = cluster.time;
    this.epoch = epoch;
    this.ownershipProvenAtMillis = time.nowMillis();
    this.cell =
        new Cell(
            TERMS,
            this,
            (part, event, fields) -> cluster.note(epoch, event, fields),
            epoch,
            time.nowMillis());
    cell.configure(cluster.customers());
    cluster.journal.earlyCancellations.forEach(cell::restoreEarlyCancellations);
    for (SubmissionSpec spec : cluster.journal.specs.values()) {
      SubmissionProgress progress = cluster.journal.progress.get(spec.id());
      if (progress != null) {
        cell.restore(
            spec,
            cluster.journal.submissionNumbers.get(spec.id()),
            progress,
            time.nowMillis(),
            time.nowMillis());
      }
    }
    cell.restoreRoster(cluster.journal.roster);
    runControlLoop();
    pollWorkerList();
    readEvacuations();
  }

  private void readEvacuations() {
    if (ended) {
      return;
    }
    long readAt = time.nowMillis();
    if (!storeUnreachable && !cluster.faults.storeDown) {
      EvacuationReading reading = new EvacuationReading(cluster.evacuated, readAt);
      time.schedule(
          2 * cluster.faults.storeDelayMillis + 2,
          () -> cell.evacuationsRead(reading, time.nowMillis()));
    }
    time.schedule(time.randomBetween(100, MAX_EVACUATION_READ_MILLIS), this::readEvacuations);
  }

  private boolean mayIssueOrders() {
    return !ended && time.nowMillis() - ownershipProvenAtMillis <= TERMS.ownershipProofMillis();
  }

  private void runControlLoop() {
    if (ended) {
      return;
    }
    if (mayIssueOrders()) {
      cell.tick(time.nowMillis(), time.nowMillis());
      if (cell.needsPass()) {
        cell.pass(time.nowMillis(), time.nowMillis(), () -> true);
      }
    }
    if (!writeInProgress
        && (time.nowMillis() - ownershipProvenAtMillis > 1_000
            || !unsavedSubmissions.isEmpty()
            || !unsavedEarlyCancellations.isEmpty()
            || !afterSaveActions.isEmpty())) {
      startWrite();
    }
    time.schedule(time.randomBetween(5, 20), this::runControlLoop);
  }

  private void pollWorkerList() {
    if (ended) {
      return;
    }
    if (!storeUnreachable && !cluster.faults.storeDown) {
      Map<String, WorkerEntry> entries = new HashMap<>();
      for (ModelWorker worker : cluster.workers) {
        if (cluster.isListed(worker)) {
          entries.put(worker.id, worker.entry());
        }
      }
      cell.workersListed(entries, time.nowMillis());
    }
    for (WorkerView worker : cell.workers()) {
      if (renewedWorkers.put(worker, true) == null) {
        renewLease(worker);
      }
    }
    time.schedule(400, this::pollWorkerList);
  }

  private void renewLease(WorkerView worker) {
    if (ended || !cell.isKnown(worker)) {
      return;
    }
    if (!mayIssueOrders()) {
      time.schedule(250, () -> renewLease(worker));
      return;
    }
    long sentAt = time.nowMillis();
    long deadline = worker.nextDeadline(sentAt, TERMS.leaseMillis());
    long seen = worker.acknowledgedEnd(sentAt);
    boolean[] answered = {false};
    long wait = deadline < 0 ? 0 : 1_000;
    long token = worker.fencingToken();
    time.schedule(
        wait + 500,
        () -> {
          if (!answered[0] && !ended) {
            answered[0] = true;
            cell.renewalUnanswered(worker, time.nowMillis());
            time.schedule(250, () -> renewLease(worker));
          }
        });
    cluster.deliver(
        this,
        worker.id(),
        answered,
        target -> {
          awaitReport(
              target, token, deadline, seen, time.nowMillis() + wait, worker, answered, sentAt);
        });
  }

  private void awaitReport(
      ModelWorker target,
      long token,
      long deadline,
      long seen,
      long until,
      WorkerView worker,
      boolean[] answered,
      long sentAt) {
    RenewalReport report = target.hold(token, deadline, seen);
    if (report != null && time.nowMillis() < until && !target.hasUnacknowledgedEnds(seen)) {
      time.schedule(
          10,
          () -> {
            if (target.up) {
              long seenNow = ACKNOWLEDGES_WHILE_WAITING ? seen : 0;
              awaitReport(target, token, -1, seenNow, until, worker, answered, sentAt);
            } else if (target.crashedUnderTask) {
              cluster.answer(this, worker.id(), answered, () -> handleReset(worker));
            }
          });
      return;
    }
    cluster.answer(
        this,
        worker.id(),
        answered,
        () -> {
          if (report == null) {
            handleFenced(worker, token, () -> renewLease(worker));
            return;
          }
          cell.renewalAnswered(worker, report, sentAt, time.nowMillis());
          boolean[] renewalStarted = {false};
          Runnable next =
              () -> {
                if (!renewalStarted[0]) {
                  renewalStarted[0] = true;
                  renewLease(worker);
                }
              };
          afterSave(() -> time.schedule(40, next));
          time.schedule(400, next);
        });
  }

  /** Ends the owner unless it has itself issued a higher token for the worker. */
  private void handleFenced(WorkerView worker, long token, Runnable otherwise) {
    if (token < worker.fencingToken()) {
      otherwise.run();
    } else {
      end();
    }
  }

  /** Handles a connection that the end of the worker's process has reset. */
  private void handleReset(WorkerView worker) {
    cell.renewalUnanswered(worker, time.nowMillis());
    time.schedule(250, () -> renewLease(worker));
  }

  @Override
  public void start(Run run, long deadline, String ticket) {
    cluster.checkNotCancelledEarly(run.submission().spec().id());
    boolean[] answered = {false};
    StepSpec step = run.submission().spec().steps().get(run.key().task().step());
    long token = run.worker().fencingToken();
    time.schedule(
        ORDER_TIMEOUT_MILLIS,
        () -> {
          if (!answered[0] && !ended) {
            answered[0] = true;
            cell.startAnswered(run, StartAnswer.MISSING, time.nowMillis());
          }
        });
    cluster.deliver(
        this,
        run.worker().id(),
        answered,
        target -> {
          StartOutcome outcome =
              target.start(
                  token, run.key(), deadline, step, cluster.workMillis(run.key().task(), step));
          StartAnswer answer = new StartAnswer(outcome, target.localClockMillis());
          cluster.answer(
              this,
              run.worker().id(),
              answered,
              () -> {
                if (outcome == StartOutcome.FENCED) {
                  handleFenced(
                      run.worker(),
                      token,
                      () ->
                          cell.startAnswered(
                              run, StartAnswer.of(StartOutcome.OTHER_LIFE), time.nowMillis()));
                } else {
                  cell.startAnswered(run, answer, time.nowMillis());
                }
              });
        });
  }

  @Override
  public void stop(WorkerView worker, RunKey run) {
    boolean[] answered = {false};
    long token = worker.fencingToken();
    time.schedule(ORDER_TIMEOUT_MILLIS, () -> answered[0] = true);
    cluster.deliver(
        this,
        worker.id(),
        answered,
        target -> {
          boolean accepted = target.stop(token, run);
          cluster.answer(
              this,
              worker.id(),
              answered,
              () -> {
                if (accepted) {
                  cell.stopAnswered(worker, run, token, time.nowMillis());
                } else {
                  handleFenced(worker, token, () -> {});
                }
              });
        });
  }

  @Override
  public boolean advise(StepRun step, List<WorkerView> workers) {
    return false;
  }

  @Override
  public void save(Submission submission) {
    unsavedSubmissions.add(submission);
  }

  @Override
  public void saveEnded(String id, byte[] spec) {
    // The journal of the model keeps specifications as they are; their texts are not checked.
  }

  @Override
  public void drop(String id) {
    // A scenario is shorter than the retention time of terminal states.
  }

  @Override
  public void saveEarlyCancellations(String id, Map<String, Long> cancelledAtMillis) {
    unsavedEarlyCancellations.put(id, cancelledAtMillis);
  }

  @Override
  public void afterSave(Runnable action) {
    if (!writeInProgress
        && unsavedSubmissions.isEmpty()
        && unsavedEarlyCancellations.isEmpty()
        && rosterToWrite == null) {
      action.run();
    } else {
      afterSaveActions.add(action);
    }
  }

  @Override
  public void saveRoster(List<RosterEntry> entries, Runnable written) {
    rosterToWrite = List.copyOf(entries);
    afterSaveActions.add(written);
  }

  private void startWrite() {
    writeInProgress = true;
    final Map<Submission, Long> versions = new HashMap<>();
    final Map<String, SubmissionSpec> specs = new HashMap<>();
    final Map<String, SubmissionProgress> progress = new HashMap<>();
    for (Submission submission : unsavedSubmissions) {
      versions.put(submission, submission.version());
      specs.put(submission.spec().id(), submission.spec());
      if (submission.needsSaving() || !submission.durable()) {
        progress.put(submission.spec().id(), submission.progress());
      }
    }
    final Map<String, Map<String, Long>> earlyCancellations = Map.copyOf(unsavedEarlyCancellations);
    final List<RosterEntry> roster = rosterToWrite;
    final List<Runnable> actions = afterSaveActions;
    unsavedSubmissions.clear();
    unsavedEarlyCancellations.clear();
    rosterToWrite = null;
    afterSaveActions = new ArrayList<>();
    writeToStore(time.nowMillis(), versions, specs, progress, earlyCancellations, roster, actions);
  }

  private void writeToStore(
      long sentAt,
      Map<Submission, Long> versions,
      Map<String, SubmissionSpec> specs,
      Map<String, SubmissionProgress> progress,
      Map<String, Map<String, Long>> earlyCancellations,
      List<RosterEntry> roster,
      List<Runnable> actions) {
    if (ended) {
      return;
    }
    if (storeUnreachable || cluster.faults.storeDown) {
      time.schedule(
          80,
          () ->
              writeToStore(
                  time.nowMillis(),
                  versions,
                  specs,
                  progress,
                  earlyCancellations,
                  roster,
                  actions));
      return;
    }
    time.schedule(
        2 + cluster.faults.storeDelayMillis,
        () -> {
          boolean accepted =
              cluster.journal.append(
                  epoch,
                  () -> {
                    cluster.journal.specs.putAll(specs);
                    for (Submission submission : versions.keySet()) {
                      cluster.journal.submissionNumbers.put(
                          submission.spec().id(), submission.number());
                    }
                    cluster.journal.progress.putAll(progress);
                    cluster.journal.earlyCancellations.putAll(earlyCancellations);
                    if (roster != null) {
                      cluster.journal.roster = roster;
                    }
                  });
          time.schedule(
              2 + cluster.faults.storeDelayMillis,
              () -> {
                if (ended) {
                  return;
                }
                if (!accepted) {
                  end();
                  return;
                }
                writeInProgress = false;
                ownershipProvenAtMillis = sentAt;
                versions.forEach(
                    (submission, version) -> {
                      cell.markDurable(submission, version);
                      cluster.recordWritten(submission);
                    });
                actions.forEach(Runnable::run);
              });
        });
  }

  void end() {
    ended = true;
  }
}
