package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.function.Supplier;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.daemon.time.TimerSubscription;

/** Ends waiting for a result after a time. Immutable. */
final class TimeLimit {

  private final TimerService timers;
  private final Duration limit;

  TimeLimit(TimerService timers, Duration limit) {
    this.timers = timers;
    this.limit = limit;
  }

  /** Returns the result, or the failure if there is none in time. A later result is dropped. */
  <T> Uni<T> apply(Uni<T> result, Supplier<Throwable> failure) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              TimerSubscription timer = timers.after(limit, () -> emitter.fail(failure.get()));
              result
                  .subscribe()
                  .with(
                      item -> {
                        timer.cancel();
                        emitter.complete(item);
                      },
                      error -> {
                        timer.cancel();
                        emitter.fail(error);
                      });
            });
  }
}
