package org.hickorypier.core.scheduling;

import java.util.List;
import org.hickorypier.core.model.WorkClass;

/**
 * The order of a team's classes, but for urgent work.
 *
 * <p>Made for a team whose requests alone fill its share: strictly behind them its jobs would never
 * start. Requests go first, since their callers wait; but after three of them the next place goes
 * to a service, a gang or a batch, each first in turn, if one waits that fits. A quarter of the
 * places keeps jobs going and adds little to the wait of requests. Not thread safe.
 */
final class ClassRotation {

  private static final int MAX_CONSECUTIVE_REQUESTS = 3;

  private static final List<WorkClass> REQUESTS_FIRST =
      List.of(WorkClass.REQUEST, WorkClass.GANG, WorkClass.SERVICE, WorkClass.BATCH);

  private static final List<List<WorkClass>> JOBS_FIRST =
      List.of(
          List.of(WorkClass.GANG, WorkClass.SERVICE, WorkClass.BATCH, WorkClass.REQUEST),
          List.of(WorkClass.SERVICE, WorkClass.BATCH, WorkClass.GANG, WorkClass.REQUEST),
          List.of(WorkClass.BATCH, WorkClass.GANG, WorkClass.SERVICE, WorkClass.REQUEST));

  private int consecutiveRequests;
  private int jobStarts;

  List<WorkClass> order() {
    return consecutiveRequests < MAX_CONSECUTIVE_REQUESTS
        ? REQUESTS_FIRST
        : JOBS_FIRST.get(jobStarts % JOBS_FIRST.size());
  }

  void recordStart(WorkClass workClass) {
    if (workClass == WorkClass.REQUEST) {
      consecutiveRequests++;
    } else if (!workClass.isSynchronous()) {
      consecutiveRequests = 0;
      jobStarts++;
    }
  }
}
