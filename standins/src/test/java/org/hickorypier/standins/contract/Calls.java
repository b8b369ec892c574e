package org.hickorypier.standins.contract;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.io.ByteArrayOutputStream;
import java.time.Duration;

/** Waits for calls in tests. The bound only keeps a fault from hanging the build. */
public final class Calls {

  private static final Duration BOUND = Duration.ofSeconds(20);

  private Calls() {}

  /** Waits for a call that must succeed. */
  public static <T> T result(Uni<T> call) {
    return call.await().atMost(BOUND);
  }

  /** Waits for a call that must fail, and returns its failure. */
  public static Throwable failure(Uni<?> call) {
    return call.<Throwable>map(
            result -> new AssertionError("succeeded unexpectedly with " + result))
        .onFailure()
        .recoverWithItem(error -> error)
        .await()
        .atMost(BOUND);
  }

  /** Collects a whole answer. */
  public static Uni<byte[]> whole(Multi<byte[]> pieces) {
    return pieces
        .collect()
        .in(ByteArrayOutputStream::new, ByteArrayOutputStream::writeBytes)
        .map(ByteArrayOutputStream::toByteArray);
  }
}
