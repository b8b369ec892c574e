package org.hickorypier.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class IncarnationsTest {

  private static final int HTTP_PORT = 40_001;
  private static final int PEER_PORT = 40_002;

  private final List<String> events = new ArrayList<>();
  private final List<Runnable> fences = new ArrayList<>();
  private final List<Runnable> renewals = new ArrayList<>();
  private final List<Throwable> failures = new ArrayList<>();
  private long wallMillis = 1_000;
  private boolean isBroken;
  private int takenTries;
  private boolean isUnloadable;
  private final Incarnations incarnations =
      new Incarnations(
          this::create,
          () -> wallMillis,
          renewals::add,
          time -> events.add("waits"),
          failures::add);

  @BeforeEach
  void start() throws DaemonStartException {
    incarnations.start();
    events.clear();
  }

  // An instance that was fenced off during a pause kept its share of the work and started nothing.
  @Test
  void instanceFencedOffWhilePausedServesAgainOnItsPorts() {
    wallMillis = 21_000;
    fence(0);

    assertThat(events)
        .containsExactly("1000 abandoned", "21000 on " + HTTP_PORT + " and " + PEER_PORT);
  }

  // A number below the fence would be fenced off from the start.
  @Test
  void clockSetBackDoesNotLowerTheNumber() {
    wallMillis = 10;
    fence(0);

    assertThat(events).last().asString().startsWith("1001 on ");
  }

  @Test
  void fenceOfAnEarlierIncarnationChangesNothing() {
    fence(0);
    events.clear();

    fence(0);

    assertThat(events).isEmpty();
  }

  // The virtual machine ended a process that had no other thread left between two incarnations.
  @Test
  void processStaysAliveBetweenTwoIncarnations() throws InterruptedException {
    List<Thread> renewers = new ArrayList<>();
    Thread control = new Thread(() -> renewers.add(HickorydMain.renewalThread(() -> {})));
    control.setDaemon(true);
    control.start();
    control.join();

    assertThat(renewers).extracting(Thread::isDaemon).containsExactly(false);
  }

  // An instance that cannot start anew must end, or it would stay away with its process running.
  @Test
  void incarnationThatCannotBeMadeIsReported() {
    isBroken = true;

    fence(0);

    assertThat(failures).hasSize(1);
  }

  /** Guards against an instance that ends for good since its port was taken for a moment. */
  @Test
  void incarnationWhosePortIsTakenIsTriedAgain() {
    takenTries = 2;

    fence(0);

    assertThat(failures).isEmpty();
    assertThat(events)
        .containsExactly("1000 abandoned", "waits", "waits", "1003 on 40001 and 40002");
  }

  /** Guards against a process that stays without ever serving again. */
  @Test
  void incarnationWhosePortStaysTakenIsReported() {
    takenTries = Integer.MAX_VALUE;

    fence(0);

    assertThat(failures).hasSize(1);
  }

  /** Guards against a process that stays as a home which takes nothing, its files replaced. */
  @Test
  void incarnationThatCannotBeEndedIsReported() {
    isUnloadable = true;

    fence(0);

    assertThat(failures).hasSize(1);
  }

  @Test
  void nothingStartsAfterTheShutdown() {
    incarnations.close();
    events.clear();

    fence(0);

    assertThat(events).isEmpty();
  }

  private void fence(int incarnation) {
    fences.get(incarnation).run();
    renewals.forEach(Runnable::run);
    renewals.clear();
  }

  private Incarnation create(int httpPort, int peerPort, long number, Runnable onFenced) {
    if (isBroken) {
      throw new IllegalStateException("cannot be made");
    }
    fences.add(onFenced);
    return new Incarnation() {
      @Override
      public DaemonAddress start() throws DaemonStartException {
        if (takenTries > 0) {
          takenTries--;
          throw new DaemonStartException("cannot listen", null);
        }
        events.add(number + " on " + httpPort + " and " + peerPort);
        return new DaemonAddress("entry-1", "127.0.0.1", HTTP_PORT, PEER_PORT);
      }

      @Override
      public void close() {
        events.add(number + " closed");
      }

      @Override
      public void abandon() {
        if (isUnloadable) {
          throw new NoClassDefFoundError("as the test says");
        }
        events.add(number + " abandoned");
      }
    };
  }
}
