package org.hickorypier.core.verification;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The data centres that are being evacuated, and the data centre of each worker.
 *
 * <p>Not thread-safe; guarded by the {@link GuaranteeChecker}.
 */
final class EvacuationHistory {

  /** A start later than this after the request is a violation. */
  private static final long NOTICE_MILLIS = 5_000;

  private final Map<String, String> dataCentres = new HashMap<>();
  private final Map<String, Long> requestedAt = new HashMap<>();

  void setDataCentre(String worker, String dataCentre) {
    dataCentres.put(worker, dataCentre);
  }

  void recordRequest(String dataCentre, long now) {
    requestedAt.putIfAbsent(dataCentre, now);
  }

  void recordWithdrawal(String dataCentre) {
    requestedAt.remove(dataCentre);
  }

  /** Returns the data centre in which a start on a worker is a violation, if it is one. */
  Optional<String> violatedBy(String worker, long now) {
    String dataCentre = dataCentres.getOrDefault(worker, "");
    Long since = requestedAt.get(dataCentre);
    return since != null && now - since > NOTICE_MILLIS
        ? Optional.of(dataCentre)
        : Optional.empty();
  }
}
