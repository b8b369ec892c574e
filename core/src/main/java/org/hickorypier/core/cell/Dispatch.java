package org.hickorypier.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;

/**
 * Places the tasks that wait, and asks the advisor for what that needs.
 *
 * <p>Belongs to the control thread.
 */
final class Dispatch {

  /** The advisor takes longer for each worker named; so many find a good set for wide gangs. */
  private static final int MOST_NAMED = 40;

  /** An answer of the advisor that takes longer than this is not waited for any more. */
  private static final long ADVICE_MILLIS = 4_000;

  /** After a question that led to nothing, the advisor is asked again after this time. */
  private static final long ASK_AGAIN_MILLIS = 500;

  private final CellState cell;
  private final RunController runs;
  private final UpcomingSteps upcoming;

  Dispatch(CellState cell, RunController runs, UpcomingSteps upcoming) {
    this.cell = cell;
    this.runs = runs;
    this.upcoming = upcoming;
  }

  void pass(long now) {
    for (WorkerView worker : cell.workers.values()) {
      worker.kindFactor = cell.speeds.factor(worker.entry().kind());
    }
    long unresolvedUpTo = cell.unresolvedUpTo(now);
    cell.usage.unheard(cell.unresolvedRoom(now));
    Map<String, List<WorkerView>> takingByService = new HashMap<>();
    for (StepRun step : UrgencyOrder.sorted(cell.open, cell.learned, now)) {
      if (!step.submission.live() || !step.anyWaiting()) {
        releaseClaim(step);
        cell.open.remove(step);
      } else if (!cell.waitsForWorkers(step.submission, unresolvedUpTo)) {
        String service = step.submission.spec().queue().service();
        place(step, takingByService.computeIfAbsent(service, name -> cell.taking(name, now)), now);
      }
    }
    for (StepRun step : upcoming.soon()) {
      String service = step.submission.spec().queue().service();
      askAhead(step, takingByService.computeIfAbsent(service, name -> cell.taking(name, now)), now);
    }
  }

  private static boolean asking(AdviceBook book, long now) {
    return book.askedAt > 0 && now < book.askedAt + ADVICE_MILLIS;
  }

  private static boolean anyTicket(AdviceBook book, List<WorkerView> workers, long now) {
    return workers.stream().anyMatch(worker -> book.ticket(worker, now) != null);
  }

  /** Asks the advisor for a step that is about to have its turn; it claims no room yet. */
  private void askAhead(StepRun step, List<WorkerView> workers, long now) {
    AdviceBook book = step.advice;
    if (asking(book, now) || now < book.notBefore || anyTicket(book, workers, now)) {
      return;
    }
    step.urgent = true;
    List<WorkerView> named = unknownWithRoom(step, step.tasks.length, workers);
    if (!named.isEmpty() && cell.output.advise(step, named)) {
      book.askedAt = now;
    }
  }

  private void place(StepRun step, List<WorkerView> workers, long now) {
    step.urgent = cell.urgent(step);
    List<Task> tasks = placeable(step, workers);
    if (tasks.isEmpty()) {
      return;
    }
    final StepReservation claim = step.claim;
    releaseClaim(step);
    AdviceBook book = step.advice;
    Map<Task, WorkerView> chosen =
        Placer.choose(
            step, tasks, workers, worker -> book == null || book.ticket(worker, now) != null, now);
    start(step, chosen, now);
    if (book == null || chosen.size() == tasks.size()) {
      return;
    }
    if (asking(book, now)) {
      if (claim != null && now < claim.until()) {
        claim(step, claim);
      }
      return;
    }
    if (now >= book.notBefore) {
      ask(step, placeable(step, workers), workers, now);
    }
  }

  /** Returns the tasks that may start now within the customer's limit and beside the reserve. */
  private List<Task> placeable(StepRun step, List<WorkerView> workers) {
    List<Task> waiting = new ArrayList<>();
    if (step.gang() && !step.allIdle()) {
      return waiting;
    }
    String customer = step.submission.spec().customer();
    Resources each = step.spec.taskResources();
    long free = unreserved(cell, step, workers);
    for (Task task : step.tasks) {
      int count = waiting.size() + 1;
      if (task.waiting()
          && count * each.milliProcessors() <= free
          && cell.usage.allows(customer, each, count)) {
        waiting.add(task);
      }
    }
    if (step.gang() && waiting.size() < step.tasks.length) {
      return new ArrayList<>();
    }
    return waiting;
  }

  /** Tells whether not even one task of a step may start beside the reserve for urgent work. */
  static boolean beyondReserve(CellState cell, StepRun step, List<WorkerView> workers) {
    return step.spec.taskResources().milliProcessors() > unreserved(cell, step, workers);
  }

  private static long unreserved(CellState cell, StepRun step, List<WorkerView> workers) {
    QueueTerms queue = step.submission.spec().queue();
    if (cell.urgent(step) || step.spec.flags().opportunistic() || step.lasting()) {
      return Long.MAX_VALUE;
    }
    long free = -cell.reserve.processors(queue.service());
    for (WorkerView worker : workers) {
      free += Math.max(0, worker.freeProcessors());
    }
    return free;
  }

  private void start(StepRun step, Map<Task, WorkerView> chosen, long now) {
    int gangRun = step.gang() ? step.nextGangRun() : 0;
    for (Map.Entry<Task, WorkerView> entry : chosen.entrySet()) {
      Task task = entry.getKey();
      int number = step.gang() ? gangRun : Math.max(step.submission.firstRun(), task.lastRun + 1);
      String ticket = step.advice == null ? null : step.advice.ticket(entry.getValue(), now);
      runs.orderStart(task, entry.getValue(), number, ticket, now);
    }
  }

  private void ask(StepRun step, List<Task> tasks, List<WorkerView> workers, long now) {
    AdviceBook book = step.advice;
    if (tasks.isEmpty()) {
      return;
    }
    Map<Task, WorkerView> planned =
        book.anySuitable() ? Placer.choose(step, tasks, workers, book::suitable, now) : Map.of();
    if (!planned.isEmpty()) {
      Set<WorkerView> named = new LinkedHashSet<>(planned.values());
      if (cell.output.advise(step, List.copyOf(named))) {
        book.askedAt = now;
        claimRoom(step, planned, now);
      }
      return;
    }
    List<WorkerView> unknown = unknownWithRoom(step, tasks.size(), workers);
    if (!unknown.isEmpty() && cell.output.advise(step, unknown)) {
      book.askedAt = now;
    }
  }

  /** Workers of which the advisor was not asked yet, if they could take enough of the tasks. */
  private List<WorkerView> unknownWithRoom(StepRun step, int wanted, List<WorkerView> workers) {
    List<WorkerView> unknown = new ArrayList<>();
    Map<WorkerView, Integer> slots = new HashMap<>();
    int room = 0;
    for (WorkerView worker : workers) {
      if (Placer.matches(step.spec, worker)) {
        int free = Placer.slots(step, worker);
        slots.put(worker, free);
        if (!step.advice.asked(worker)) {
          unknown.add(worker);
          room += free;
        } else if (step.advice.suitable(worker)) {
          room += free;
        }
      }
    }
    int needed = step.gang() ? wanted : 1;
    if (room < needed) {
      return List.of();
    }
    unknown.sort(
        Comparator.comparingDouble((WorkerView worker) -> Placer.speedPenalty(step, worker))
            .thenComparingInt(worker -> -slots.get(worker)));
    return unknown.size() <= MOST_NAMED ? unknown : unknown.subList(0, MOST_NAMED);
  }

  private void claimRoom(StepRun step, Map<Task, WorkerView> planned, long now) {
    Map<WorkerView, Resources> rooms = new HashMap<>();
    for (WorkerView worker : planned.values()) {
      rooms.merge(worker, step.spec.taskResources(), Resources::plus);
    }
    long call = Math.round(step.advice.terms.callMillis(rooms.size()));
    claim(step, new StepReservation(rooms, now + 2 * call + ASK_AGAIN_MILLIS));
  }

  private void claim(StepRun step, StepReservation claim) {
    step.claim = claim;
    claim.rooms().forEach((worker, size) -> worker.reserve(size, 1));
  }

  private void releaseClaim(StepRun step) {
    if (step.claim != null) {
      step.claim.rooms().forEach((worker, size) -> worker.reserve(size, -1));
      step.claim = null;
    }
  }

  void adviceAnswered(
      StepRun step,
      List<WorkerView> named,
      Map<String, String> tickets,
      long validMillis,
      long now) {
    step.advice.answered(named, tickets, validMillis, now);
    step.advice.notBefore = tickets.isEmpty() ? now + ASK_AGAIN_MILLIS : now;
    cell.dirty = true;
  }

  void adviceFailed(StepRun step, long now) {
    step.advice.askedAt = 0;
    step.advice.notBefore = now + ASK_AGAIN_MILLIS;
    releaseClaim(step);
    cell.dirty = true;
  }
}
