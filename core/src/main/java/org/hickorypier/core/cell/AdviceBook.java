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
final class AdviceBook {

  /** A ticket that ends on its way to the worker is refused there, and the start is lost. */
  private static final long TICKET_MARGIN_MILLIS = 250;

  final AdviceTerms terms;
  private final Map<String, Ticket> good = new HashMap<>();
  private final Set<String> bad = new HashSet<>();

  /** When the question that is open was asked; 0 if none is. */
  long askedAt;

  /** Not before this time is the advisor asked again. */
  long notBefore;

  AdviceBook(AdviceTerms terms) {
    this.terms = terms;
  }

  boolean asked(WorkerView worker) {
    return good.containsKey(worker.id()) || bad.contains(worker.id());
  }

  boolean suitable(WorkerView worker) {
    return good.containsKey(worker.id());
  }

  boolean anySuitable() {
    return !good.isEmpty();
  }

  /** Returns a ticket that is still valid when it arrives, or null. */
  String ticket(WorkerView worker, long now) {
    Ticket ticket = good.get(worker.id());
    if (ticket == null || ticket.until < now || ticket.born != worker.bornMillis) {
      return null;
    }
    return ticket.text;
  }

  void forget(WorkerView worker) {
    Ticket ticket = good.get(worker.id());
    if (ticket != null) {
      good.put(worker.id(), new Ticket(ticket.text, 0, ticket.born));
    }
  }

  void answered(List<WorkerView> named, Map<String, String> tickets, long validMillis, long now) {
    askedAt = 0;
    for (WorkerView worker : named) {
      String text = tickets.get(worker.id());
      if (text == null) {
        bad.add(worker.id());
      } else {
        long until = now + validMillis - TICKET_MARGIN_MILLIS;
        good.put(worker.id(), new Ticket(text, until, worker.bornMillis));
      }
    }
  }

  private record Ticket(String text, long until, long born) {}
}
