package org.hickorypier.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.hickorypier.core.model.WorkItem;
import org.hickorypier.core.model.WorkKey;
import org.junit.jupiter.api.Test;

/** Callers who retry under demand of twice the capacity, from the point of view of the caller. */
class RetryingCallerTest {

  private static final int WORKERS = 5;
  private static final long STEP_MILLIS = 50;
  private static final int REQUESTS_PER_STEP = 4;
  private static final long LOAD_MILLIS = 60_000;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final long RETRY_DELAY_MILLIS = 200;

  /** Every fourth caller has to retry, since its first attempt may have run. */
  private static final int RETRYING_ONE_IN = 4;

  /** Callers keep retrying for longer than this. */
  private static final long LONGEST_WAIT_MILLIS = 10_000;

  private final Map<WorkKey, Long> waits = new HashMap<>();
  private final Map<WorkKey, Long> firstTries = new HashMap<>();
  private final Deque<Retry> pendingRetries = new ArrayDeque<>();
  private final SimulatedLoad load =
      new SimulatedLoad(SchedulerFixtures.scheduler(WORKERS, "north"), this::recordStart);

  /**
   * Guards against callers that rejoin the tail of the queue with each retry until they give up.
   */
  @Test
  void retryingCallerIsServedBeforeLaterCallers() {
    int submitted = 0;
    while (load.now() < LOAD_MILLIS) {
      for (int i = 0; i < REQUESTS_PER_STEP; i++) {
        WorkKey key = new WorkKey("north", "r" + submitted++);
        firstTries.put(key, load.now());
        submit(new Retry(key, load.now()));
      }
      submitDueRetries();
      load.run(STEP_MILLIS);
    }

    long lastCheckedMillis = LOAD_MILLIS - LONGEST_WAIT_MILLIS;
    assertThat(firstTries)
        .allSatisfy(
            (key, first) -> {
              if (isRetryingCaller(key) && first < lastCheckedMillis) {
                assertThat(waits).containsKey(key);
                assertThat(waits.get(key)).isLessThan(LONGEST_WAIT_MILLIS);
              }
            });
  }

  private void submitDueRetries() {
    int due = pendingRetries.size();
    for (int i = 0; i < due; i++) {
      Retry retry = pendingRetries.poll();
      if (waits.containsKey(retry.key)) {
        continue;
      }
      if (retry.dueMillis <= load.now()) {
        submit(retry);
      } else {
        pendingRetries.add(retry);
      }
    }
  }

  /**
   * Submits a request and schedules a retry: after the delay if it was refused, or once its
   * deadline has passed otherwise.
   */
  private void submit(Retry retry) {
    long now = load.now();
    WorkItem item =
        SchedulerFixtures.request("north", retry.key.requestId(), now, now + DEADLINE_MILLIS)
            .withFirstTriedMillis(firstTries.get(retry.key));
    int before = load.refusals().size();
    load.submit(item);
    boolean refused = load.refusals().size() > before;
    if (isRetryingCaller(retry.key)) {
      long delay = refused ? RETRY_DELAY_MILLIS : DEADLINE_MILLIS + RETRY_DELAY_MILLIS;
      pendingRetries.add(new Retry(retry.key, now + delay));
    }
  }

  private static boolean isRetryingCaller(WorkKey key) {
    return Integer.parseInt(key.requestId().substring(1)) % RETRYING_ONE_IN == 0;
  }

  private long recordStart(PlacedTask task) {
    WorkKey key = task.taskId().key();
    waits.putIfAbsent(key, load.now() - firstTries.get(key));
    return SchedulerFixtures.RUN_MILLIS;
  }

  private record Retry(WorkKey key, long dueMillis) {}
}
