package org.hickorypier.core.scheduling;

import java.util.List;
import org.hickorypier.core.model.WorkClass;

/**
 * Chooses the order of a team's classes other than urgent.
 *
 * <p>Under strict priority, a team whose requests alone fill its share would never start its jobs.
 * Requests go first, because their callers wait. After three requests in a row, the next start goes
 * to a service, gang or batch that fits; these three classes take the lead in rotation. A quarter
 * of the starts keeps jobs progressing and adds little to the wait of requests.
 *
 * <p>Not thread-safe.
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
