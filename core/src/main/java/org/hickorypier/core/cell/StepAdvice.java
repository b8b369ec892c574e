package org.hickorypier.core.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickorypier.core.submission.AdviceTerms;

/**
 * What the advisor has said of one step: which workers may run it, which never changes, and the
 * tickets, which expire.
 *
 * <p>Belongs to the control thread.
 */
final class StepAdvice {

  /** A ticket that ends on its way to the worker is refused there, and the start is lost. */
  private static final long TICKET_MARGIN_MILLIS = 250;

  final AdviceTerms terms;
  private final Map<String, Ticket> suitableTickets = new HashMap<>();
  private final Set<String> unsuitableWorkers = new HashSet<>();

  /** When the question that is open was asked; 0 if none is. */
  long requestedAt;

  /** Not before this time is the advisor asked again. */
  long nextRequestAt;

  StepAdvice(AdviceTerms terms) {
    this.terms = terms;
  }

  boolean isRated(WorkerView worker) {
    return suitableTickets.containsKey(worker.id()) || unsuitableWorkers.contains(worker.id());
  }

  boolean isSuitable(WorkerView worker) {
    return suitableTickets.containsKey(worker.id());
  }

  boolean hasSuitableWorkers() {
    return !suitableTickets.isEmpty();
  }

  /** Returns a ticket that is still valid when it arrives, or null. */
  String validTicket(WorkerView worker, long now) {
    Ticket ticket = suitableTickets.get(worker.id());
    if (ticket == null || ticket.validUntil < now || ticket.workerBornMillis != worker.bornMillis) {
      return null;
    }
    return ticket.text;
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
      String text = tickets.get(worker.id());
      if (text == null) {
        unsuitableWorkers.add(worker.id());
      } else {
        long until = now + validMillis - TICKET_MARGIN_MILLIS;
        suitableTickets.put(worker.id(), new Ticket(text, until, worker.bornMillis));
      }
    }
  }

  private record Ticket(String text, long validUntil, long workerBornMillis) {}
}
