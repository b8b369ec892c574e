package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.List;
import org.hickorypier.daemon.time.TimerService;

/**
 * Gives the other instances a moment to fold a change before somebody is named as behind. Belongs
 * to the control thread.
 */
final class InForceWait {

  private static final Duration PERIOD = Duration.ofMillis(50);

  private final ChangeProgress progress;
  private final TimerService timers;
  private final Duration limit;

  InForceWait(ChangeProgress progress, TimerService timers, Duration limit) {
    this.progress = progress;
    this.timers = timers;
    this.limit = limit;
  }

  Uni<List<String>> behindAfterWait(long offset) {
    long until = timers.nowMillis() + limit.toMillis();
    return Uni.createFrom().emitter(emitter -> look(emitter, offset, until));
  }

  private void look(UniEmitter<? super List<String>> emitter, long offset, long until) {
    List<String> behind = progress.behind(offset);
    if (behind.isEmpty() || timers.nowMillis() >= until) {
      emitter.complete(behind);
    } else {
      timers.after(PERIOD, () -> look(emitter, offset, until));
    }
  }
}
