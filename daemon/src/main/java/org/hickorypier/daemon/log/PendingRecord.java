package org.hickorypier.daemon.log;

import io.smallrye.mutiny.Uni;
import java.util.concurrent.CompletableFuture;

/** A record on its way into the log. For the control thread. */
final class PendingRecord {

  private static final long NOT_KNOWN = -1;

  private final String id;
  private final byte[] data;
  private final CompletableFuture<Long> readBack = new CompletableFuture<>();
  private boolean sent;
  private boolean toBeSent = true;
  private long expectedOffset = NOT_KNOWN;

  PendingRecord(String id, byte[] data) {
    this.id = id;
    this.data = data;
  }

  String id() {
    return id;
  }

  byte[] data() {
    return data;
  }

  boolean wasSent() {
    return sent;
  }

  boolean isToBeSent() {
    return toBeSent;
  }

  void markSent() {
    sent = true;
    toBeSent = false;
    expectedOffset = NOT_KNOWN;
  }

  void repeat() {
    toBeSent = true;
    expectedOffset = NOT_KNOWN;
  }

  void expectAt(long offset) {
    expectedOffset = offset;
  }

  boolean isExpectedBy(long offset) {
    return expectedOffset != NOT_KNOWN && expectedOffset <= offset;
  }

  Uni<Long> result() {
    return Uni.createFrom().completionStage(readBack::minimalCompletionStage);
  }

  void complete(long offset) {
    readBack.complete(offset);
  }

  void fail(LogAppendException error) {
    readBack.completeExceptionally(error);
  }
}
