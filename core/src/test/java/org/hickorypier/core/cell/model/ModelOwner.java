package org.hickorypier.core.cell.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CellOutput;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.HoldReport;
import org.hickorypier.core.cell.RosterEntry;
import org.hickorypier.core.cell.Run;
import org.hickorypier.core.cell.RunKey;
import org.hickorypier.core.cell.StartOutcome;
import org.hickorypier.core.cell.StepRun;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.cell.WorkerEntry;
import org.hickorypier.core.cell.WorkerView;
import org.hickorypier.core.submission.Progress;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;

/** One owner: the real cell, with the model's journal, network and workers around it. */
final class ModelOwner implements CellOutput {

  private static final CellTimings TERMS =
      CellTimings.of(ModelWorker.LONGEST_LEASE, 3_000, 600_000);
  private static final long ORDER_TIMEOUT = 400;

  final int epoch;
  final Cell cell;
  private final ModelWorld world;
  private final ModelTime time;
  private final Set<Submission> dirty = new LinkedHashSet<>();
  private List<Runnable> waiting = new ArrayList<>();
  private List<RosterEntry> rosterToWrite;
  private boolean writing;
  private long provenAt;
  boolean ended;

  /** Workers that this owner cannot reach, nor they it. */
  final Set<String> cut = new HashSet<>();

  /** This owner cannot reach the store. */
  boolean storeCut;

  private final Map<WorkerView, Boolean> conversations = new HashMap<>();

  ModelOwner(ModelWorld world, int epoch) {
    this.world = world;
    this.time = world.time;
    this.epoch = epoch;
    this.provenAt = time.now();
    this.cell =
        new Cell(
            TERMS,
            this,
            (part, event, fields) -> world.note(epoch, event, fields),
            epoch,
            time.now());
    cell.configure(world.customers());
    for (SubmissionSpec spec : world.journal.specs.values()) {
      Progress progress = world.journal.progress.get(spec.id());
      if (progress != null) {
        cell.restore(spec, world.journal.numbers.get(spec.id()), progress, time.now(), time.now());
      }
    }
    cell.restoreRoster(world.journal.roster);
    loop();
    listWorkers();
  }

  private boolean mayOrder() {
    return !ended && time.now() - provenAt <= TERMS.ownershipProofMillis();
  }

  private void loop() {
    if (ended) {
      return;
    }
    if (mayOrder()) {
      cell.tick(time.now(), time.now());
      if (cell.needsPass()) {
        cell.pass(time.now(), time.now());
      }
    }
    if (!writing && (time.now() - provenAt > 1_000 || !dirty.isEmpty() || !waiting.isEmpty())) {
      write();
    }
    time.after(time.between(5, 20), this::loop);
  }

  private void listWorkers() {
    if (ended) {
      return;
    }
    if (!storeCut && !world.faults.storeDown) {
      Map<String, WorkerEntry> entries = new HashMap<>();
      for (ModelWorker worker : world.workers) {
        if (world.listed(worker)) {
          entries.put(worker.id, worker.entry());
        }
      }
      cell.workersListed(entries, time.now());
    }
    for (WorkerView worker : cell.workers()) {
      if (conversations.put(worker, true) == null) {
        renew(worker);
      }
    }
    time.after(400, this::listWorkers);
  }

  private void renew(WorkerView worker) {
    if (ended || !cell.isKnown(worker)) {
      return;
    }
    if (!mayOrder()) {
      time.after(250, () -> renew(worker));
      return;
    }
    long sentAt = time.now();
    long deadline = worker.nextDeadline(sentAt, TERMS.leaseMillis());
    long seen = worker.acknowledged(sentAt);
    boolean[] answered = {false};
    long wait = deadline < 0 ? 0 : 1_000;
    time.after(
        wait + 500,
        () -> {
          if (!answered[0] && !ended) {
            answered[0] = true;
            cell.renewalUnanswered(worker, time.now());
            time.after(250, () -> renew(worker));
          }
        });
    world.deliver(
        this,
        worker.id(),
        answered,
        target -> {
          waitForNews(target, deadline, seen, time.now() + wait, worker, answered, sentAt);
        });
  }

  private void waitForNews(
      ModelWorker target,
      long deadline,
      long seen,
      long until,
      WorkerView worker,
      boolean[] answered,
      long sentAt) {
    HoldReport first = target.hold(epoch, deadline, seen);
    if (first != null && time.now() < until && !target.hasNews(seen)) {
      time.after(
          10,
          () -> {
            if (target.up) {
              waitForNews(target, deadline, seen, until, worker, answered, sentAt);
            }
          });
      return;
    }
    world.answer(
        this,
        worker.id(),
        answered,
        () -> {
          if (first == null) {
            end();
            return;
          }
          cell.renewalAnswered(worker, first, sentAt, time.now());
          boolean[] begun = {false};
          Runnable next =
              () -> {
                if (!begun[0]) {
                  begun[0] = true;
                  renew(worker);
                }
              };
          afterSave(() -> time.after(40, next));
          time.after(400, next);
        });
  }

  @Override
  public void start(Run run, long deadline, String ticket) {
    boolean[] answered = {false};
    StepSpec step = run.submission().spec().steps().get(run.key().task().step());
    time.after(
        ORDER_TIMEOUT,
        () -> {
          if (!answered[0] && !ended) {
            answered[0] = true;
            cell.startAnswered(run, StartOutcome.UNKNOWN, time.now());
          }
        });
    world.deliver(
        this,
        run.worker().id(),
        answered,
        target -> {
          StartOutcome outcome =
              target.start(epoch, run.key(), deadline, step, world.work(run.key().task(), step));
          world.answer(
              this,
              run.worker().id(),
              answered,
              () -> {
                if (outcome == StartOutcome.FENCED) {
                  end();
                } else {
                  cell.startAnswered(run, outcome, time.now());
                }
              });
        });
  }

  @Override
  public void stop(WorkerView worker, RunKey run) {
    boolean[] answered = {false};
    time.after(ORDER_TIMEOUT, () -> answered[0] = true);
    world.deliver(
        this,
        worker.id(),
        answered,
        target -> {
          boolean taken = target.stop(epoch, run);
          world.answer(
              this,
              worker.id(),
              answered,
              () -> {
                if (taken) {
                  cell.stopAnswered(worker, run, time.now());
                } else {
                  end();
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
    dirty.add(submission);
  }

  @Override
  public void drop(String id) {
    // The model's days are shorter than the time that end states are kept.
  }

  @Override
  public void afterSave(Runnable action) {
    if (!writing && dirty.isEmpty() && rosterToWrite == null) {
      action.run();
    } else {
      waiting.add(action);
    }
  }

  @Override
  public void saveRoster(List<RosterEntry> entries, Runnable written) {
    rosterToWrite = List.copyOf(entries);
    waiting.add(written);
  }

  private void write() {
    writing = true;
    final Map<Submission, Long> versions = new HashMap<>();
    final Map<String, SubmissionSpec> specs = new HashMap<>();
    final Map<String, Progress> progress = new HashMap<>();
    for (Submission submission : dirty) {
      versions.put(submission, submission.version());
      specs.put(submission.spec().id(), submission.spec());
      if (submission.needsSaving() || !submission.durable()) {
        progress.put(submission.spec().id(), submission.progress());
      }
    }
    final List<RosterEntry> roster = rosterToWrite;
    final List<Runnable> actions = waiting;
    dirty.clear();
    rosterToWrite = null;
    waiting = new ArrayList<>();
    send(time.now(), versions, specs, progress, roster, actions);
  }

  private void send(
      long sentAt,
      Map<Submission, Long> versions,
      Map<String, SubmissionSpec> specs,
      Map<String, Progress> progress,
      List<RosterEntry> roster,
      List<Runnable> actions) {
    if (ended) {
      return;
    }
    if (storeCut || world.faults.storeDown) {
      time.after(80, () -> send(time.now(), versions, specs, progress, roster, actions));
      return;
    }
    time.after(
        2 + world.faults.storeDelay,
        () -> {
          boolean taken =
              world.journal.append(
                  epoch,
                  () -> {
                    world.journal.specs.putAll(specs);
                    for (Submission submission : versions.keySet()) {
                      world.journal.numbers.put(submission.spec().id(), submission.number());
                    }
                    world.journal.progress.putAll(progress);
                    if (roster != null) {
                      world.journal.roster = roster;
                    }
                  });
          time.after(
              2 + world.faults.storeDelay,
              () -> {
                if (ended) {
                  return;
                }
                if (!taken) {
                  end();
                  return;
                }
                writing = false;
                provenAt = sentAt;
                versions.forEach(
                    (submission, version) -> {
                      cell.markDurable(submission, version);
                      world.written(submission);
                    });
                actions.forEach(Runnable::run);
              });
        });
  }

  void end() {
    ended = true;
  }
}
