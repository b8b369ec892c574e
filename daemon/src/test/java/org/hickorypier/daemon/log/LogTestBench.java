package org.hickorypier.daemon.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.wire.MessagePackCodec;
import org.hickorypier.wire.UndecodableException;
import org.hickorypier.wire.record.ConfigurationRecord;
import org.hickorypier.wire.record.ConfigurationRecord.PutDrain;

/** A follower and an appender of one instance over the fake log. Not thread safe. */
final class LogTestBench {

  static final String STREAM = "configuration";
  static final MessagePackCodec<ConfigurationRecord> CODEC =
      new MessagePackCodec<>(ConfigurationRecord.class);

  final ManualTimerService timers = new ManualTimerService();
  final FakeLogService log = new FakeLogService(timers);
  private final Stream stream = open();
  final LogFollower<ConfigurationRecord> follower = stream.follower();
  final LogAppender<ConfigurationRecord> appender = stream.appender();
  final List<String> seen = new ArrayList<>();

  LogTestBench() {
    follower.subscribe(
        new LogConsumer<>() {
          @Override
          public void onRecord(long offset, ConfigurationRecord change) {
            seen.add(offset + " " + change.id());
          }

          @Override
          public void onUnreadable(long offset, byte[] data, UndecodableException reason) {
            seen.add(offset + " unreadable");
          }

          @Override
          public void onExpired(long wantedOffset, long oldestOffset) {
            seen.add("expired " + wantedOffset + " to " + oldestOffset);
          }
        });
    follower.subscribe(appender);
  }

  /** Opens the stream once more, as another instance would. */
  Stream open() {
    return new Stream(
        new LogFollower<>(
            log, STREAM, CODEC, timers, timers, new Random(7), FollowSettings.DEFAULT),
        new LogAppender<>(
            log,
            STREAM,
            CODEC,
            ConfigurationRecord::id,
            timers,
            timers,
            new Random(8),
            AppendSettings.DEFAULT));
  }

  /** One instance's way to the stream. */
  record Stream(
      LogFollower<ConfigurationRecord> follower, LogAppender<ConfigurationRecord> appender) {}

  static ConfigurationRecord change(String id) {
    return new PutDrain(id, ConfigurationRecord.ANY_REVISION, "worker-1", true);
  }

  void put(String id) {
    log.put(STREAM, CODEC.encode(change(id)));
  }
}
