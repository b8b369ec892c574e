package org.hickorypier.daemon;

import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.hickorypier.daemon.log.AppendSettings;
import org.hickorypier.daemon.log.FollowSettings;
import org.hickorypier.daemon.log.LogAppender;
import org.hickorypier.daemon.log.LogConsumer;
import org.hickorypier.daemon.log.LogFollower;
import org.hickorypier.daemon.time.TimerService;
import org.hickorypier.platform.log.LogService;
import org.hickorypier.wire.MessagePackCodec;

/** Opens streams of the log, each with its follower and appender. For the control thread. */
final class LogStreams {

  private final LogService log;
  private final TimerService timers;
  private final Executor control;
  private final SplittableRandom random;

  LogStreams(LogService log, TimerService timers, Executor control, SplittableRandom random) {
    this.log = log;
    this.timers = timers;
    this.control = control;
    this.random = random;
  }

  /** Opens a stream. The fold hears each record before the appender settles it. */
  <T> LogStream<T> open(
      String name, Class<T> family, Function<T, String> idOf, LogConsumer<T> fold) {
    MessagePackCodec<T> codec = new MessagePackCodec<>(family);
    LogFollower<T> follower =
        new LogFollower<>(
            log, name, codec, timers, control, random.split(), FollowSettings.DEFAULT);
    LogAppender<T> appender =
        new LogAppender<>(
            log, name, codec, idOf, timers, control, random.split(), AppendSettings.DEFAULT);
    follower.subscribe(fold);
    follower.subscribe(appender);
    return new LogStream<>(follower, appender);
  }

  /** One stream: who reads it and who appends to it. */
  record LogStream<T>(LogFollower<T> follower, LogAppender<T> appender) {}
}
