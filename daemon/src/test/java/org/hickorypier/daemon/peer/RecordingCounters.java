package org.hickorypier.daemon.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps what was counted, by kind. Thread safe. */
final class RecordingCounters implements PeerCounters {

  private final Map<String, Integer> dropped = new ConcurrentHashMap<>();

  int droppedCount(String kind) {
    return dropped.getOrDefault(kind, 0);
  }

  @Override
  public void sent(String kind, int bytes) {}

  @Override
  public void received(String kind, int bytes) {}

  @Override
  public void dropped(String kind) {
    dropped.merge(kind, 1, Integer::sum);
  }
}
