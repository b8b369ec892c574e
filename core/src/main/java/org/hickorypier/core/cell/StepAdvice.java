package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickorypier.core.submission.AdviceTerms;

/**
 * The advisor's answers for one step: which workers are suitable, which never changes during their
 * incarnation, and their tickets, which expire.
 *
 * <p>Confined to the control thread.
 */
final class StepAdvice {

  /**
   * Safety margin for the time to the worker, which refuses an expired ticket, so that the start is
   * lost.
   */
  private static final long TICKET_MARGIN_MILLIS = 250;

  /** No worker was started then. */
  private static final long NEVER = -1;

  final AdviceTerms terms;
  private final Map<String, Ticket> suitableTickets = new HashMap<>();

  /** The start of the incarnation in which each worker was found unsuitable. */
  private final Map<String, Long> unsuitableWorkers = new HashMap<>();

  /** When the pending request was sent; 0 if none is pending. */
  long requestedAt;

  /** Earliest time of the next request. */
  long nextRequestAt;

  /** No ticket is valid after this time. */
  private long lastValidUntil;

  StepAdvice(AdviceTerms terms) {
    this.terms = terms;
  }

  boolean isRated(WorkerView worker) {
    return isSuitable(worker)
        || unsuitableWorkers.getOrDefault(worker.id(), NEVER) == worker.bornMillis();
  }

  boolean isSuitable(WorkerView worker) {
    Ticket ticket = suitableTickets.get(worker.id());
    return ticket != null && ticket.workerBornMillis == worker.bornMillis();
  }

  boolean hasSuitableWorkers() {
    return !suitableTickets.isEmpty();
  }

  /**
   * Returns a ticket that is still valid when it reaches the worker, or null if there is none or
   * the worker has restarted since.
   */
  String validTicket(WorkerView worker, long now) {
    Ticket ticket = suitableTickets.get(worker.id());
    if (ticket == null
        || ticket.validUntil < now
        || ticket.workerBornMillis != worker.bornMillis()) {
      return null;
    }
    return ticket.text;
  }

  /** Tells whether a ticket that has just been issued is still valid after a time. */
  boolean newTicketsOutlast(long millis) {
    return terms.ticketValidityMillis() - TICKET_MARGIN_MILLIS > millis;
  }

  /** Returns whether any ticket may be valid; false spares a look at each worker. */
  boolean mayHaveValidTicket(long now) {
    return now <= lastValidUntil;
  }

  void invalidateTicket(WorkerView worker) {
    Ticket ticket = suitableTickets.get(worker.id());
    if (ticket != null) {
      suitableTickets.put(worker.id(), new Ticket(ticket.text, 0, ticket.workerBornMillis));
    }
  }

  void recordAnswer(
      List<WorkerView> named, Map<String, String> tickets, long validMillis, long now) {
    requestedAt = 0;
    for (WorkerView worker : named) {
      String ticket = tickets.get(worker.id());
      if (ticket == null) {
        unsuitableWorkers.put(worker.id(), worker.bornMillis());
      } else {
        long validUntil = now + validMillis - TICKET_MARGIN_MILLIS;
        lastValidUntil = Math.max(lastValidUntil, validUntil);
        suitableTickets.put(worker.id(), new Ticket(ticket, validUntil, worker.bornMillis()));
      }
    }
  }

  private record Ticket(String text, long validUntil, long workerBornMillis) {}
}
