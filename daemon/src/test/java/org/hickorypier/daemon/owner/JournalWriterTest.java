package org.hickorypier.daemon.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;
import org.hickorypier.core.cell.Cell;
import org.hickorypier.core.cell.CellTimings;
import org.hickorypier.core.cell.EarlyCancellationCodec;
import org.hickorypier.core.cell.Submission;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.QueueTerms;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.hickorypier.daemon.link.LinkReply;
import org.hickorypier.daemon.time.DelayMonitor;
import org.hickorypier.daemon.time.ManualTimerService;
import org.hickorypier.daemon.time.SuspensionDetector;
import org.hickorypier.platform.store.Append;
import org.hickorypier.platform.store.KeyedRecord;
import org.hickorypier.platform.store.StoreError;
import org.hickorypier.platform.store.StoreException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against refusals of submissions that the journal holds, or may hold later. */
class JournalWriterTest {

  private static final Duration PERIOD = Duration.ofMillis(10);

  private final ManualTimerService timers = new ManualTimerService();
  private final FakeStore store = new FakeStore();
  private final JournalWriter journal =
      new JournalWriter(
          store,
          timers,
          new SuspensionDetector(timers::nowMillis, timers::nowMillis),
          new DelayMonitor(timers),
          (part, event, fields) -> {},
          3,
          100,
          new Events());
  private final Cell cell =
      new Cell(
          CellTimings.of(10_000, 3_000, 60_000),
          new JournalOnly(),
          (part, event, fields) -> {},
          3,
          timers.nowMillis());
  private final PendingAcceptances pending = new PendingAcceptances(timers::nowMillis, journal);
  private final Map<String, Future<LinkReply>> replies = new LinkedHashMap<>();
  private final Map<String, Long> acceptedAt = new LinkedHashMap<>();

  /** Applies each append once, and answers as the present behaviour says. */
  private final class FakeStore implements JournalWriter.Store {

    private final List<Append> written = new ArrayList<>();
    private boolean refusing;
    private boolean silent;
    private long delayMillis = 5;

    /** Changes the behaviour from call to call, or null. */
    private Random faults;

    @Override
    public Future<Long> append(Append append, long timeoutMillis) {
      if (faults != null) {
        refusing = faults.nextInt(10) < 4;
        silent = faults.nextInt(10) < 3;
        delayMillis = faults.nextInt(10) < 5 ? 5 : faults.nextInt(2_500);
      }
      Promise<Long> answer = Promise.promise();
      if (refusing) {
        timers.after(Duration.ofMillis(5), () -> answer.tryFail(error(StoreError.UNAVAILABLE, -1)));
        return answer.future();
      }
      timers.after(
          Duration.ofMillis(timeoutMillis), () -> answer.tryFail(error(StoreError.UNKNOWN, -1)));
      boolean unanswered = silent;
      timers.after(
          Duration.ofMillis(delayMillis),
          () -> {
            long last = written.isEmpty() ? 100 : written.get(written.size() - 1).sequence();
            if (append.sequence() > last + 1) {
              answer.tryFail(error(StoreError.OUT_OF_SEQUENCE, last + 1));
              return;
            }
            if (append.sequence() == last + 1) {
              written.add(append);
            } else {
              // What was written once may only be repeated unchanged.
              assertThat(keys(append)).isEqualTo(keys(written.get((int) append.sequence() - 101)));
            }
            if (!unanswered) {
              answer.tryComplete(0L);
            }
          });
      return answer.future();
    }

    private StoreException error(StoreError error, long offset) {
      return new StoreException(error, offset, "" + error, null);
    }

    private List<String> keys(Append append) {
      return append.records().stream().map(KeyedRecord::key).toList();
    }

    /** Returns the index of the first written append with a key, or -1. */
    private int firstAppendOf(String key) {
      for (int index = 0; index < written.size(); index++) {
        if (keys(written.get(index)).contains(key)) {
          return index;
        }
      }
      return -1;
    }

    private boolean holds(String id) {
      return written.stream()
          .flatMap(append -> append.records().stream())
          .map(KeyedRecord::key)
          .anyMatch(JournalKeys.specKey(id)::equals);
    }
  }

  private final class Events implements JournalWriter.Callbacks {

    @Override
    public void written(Submission submission, long version) {
      boolean first = !submission.durable();
      cell.markDurable(submission, version);
      if (first) {
        acceptedAt.put(submission.spec().id(), timers.nowMillis());
        pending.accepted(submission);
      }
    }

    @Override
    public void fenced(String reason) {
      pending.end(3);
    }
  }

  private final class JournalOnly extends NoOutput {

    @Override
    public void save(Submission submission) {
      journal.save(submission);
    }

    @Override
    public void saveEarlyCancellations(String id, Map<String, Long> cancelledAtMillis) {
      journal.put(
          JournalKeys.earlyCancellationKey(id), EarlyCancellationCodec.encode(cancelledAtMillis));
    }
  }

  private void submit(String id, long waitMillis) {
    SubmissionSpec spec =
        new SubmissionSpec(
            id,
            "customer",
            new QueueTerms("q", "service", 0, 3, 1, 0, Optional.empty()),
            "text",
            List.of(
                new StepSpec(1, Resources.NONE, 1, List.of(), StepFlags.NONE, "", "", 0, "", 0, 0)),
            0,
            0,
            0,
            0);
    replies.put(id, pending.add(cell.accept(spec, timers.nowMillis()), waitMillis));
  }

  private void run(long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += PERIOD.toMillis()) {
      timers.advance(PERIOD);
      if (timers.nowMillis() % 100 == 0) {
        journal.tick();
        pending.withdrawDue(
            submission -> {
              cell.withdraw(submission);
              return Future.succeededFuture(new LinkReply.Refused("withdrawn", 1_000, 3));
            });
      }
    }
  }

  private List<String> withReply(Class<? extends LinkReply> type) {
    return replies.keySet().stream()
        .filter(id -> type.isInstance(replies.get(id).result()))
        .toList();
  }

  @Test
  void refusedAppendsHoldNothingBackFromWithdrawal() {
    store.refusing = true;
    for (int index = 0; index < 20; index++) {
      submit("early" + index, 0);
      run(10);
    }
    run(2_500);
    assertThat(withReply(LinkReply.Refused.class)).hasSize(20);
    store.refusing = false;
    submit("late", 0);
    run(500);
    assertThat(withReply(LinkReply.Accepted.class)).containsExactly("late");
    assertThat(replies.keySet()).filteredOn(store::holds).containsExactly("late");
    assertThat(cell.size()).isEqualTo(1);
  }

  @Test
  void onlySubmissionsOfTheFirstAppendsHaveUnknownOutcomeAtSilentStore() {
    store.silent = true;
    for (int index = 0; index < 100; index++) {
      submit("s" + index, 2_880);
      run(10);
    }
    run(2_000);
    List<String> open =
        replies.keySet().stream().filter(id -> !replies.get(id).isComplete()).toList();
    assertThat(open).containsExactly("s0", "s1", "s2");
    assertThat(withReply(LinkReply.Refused.class)).hasSize(97).noneMatch(store::holds);
    store.silent = false;
    run(3_000);
    assertThat(withReply(LinkReply.Accepted.class)).containsExactly("s0", "s1", "s2");
    assertThat(replies.keySet()).filteredOn(store::holds).containsExactly("s0", "s1", "s2");
  }

  /** The store applies and answers an append after its submission's callers were due. */
  @Test
  void submissionOfUnansweredAppendIsNotWithdrawnAndIsAcceptedLate() {
    store.delayMillis = 400;
    submit("carried", 300);
    run(300);
    assertThat(replies.get("carried").isComplete()).isFalse();
    run(200);
    assertThat(replies.get("carried").result()).isInstanceOf(LinkReply.Accepted.class);
    assertThat(store.holds("carried")).isTrue();
  }

  @Test
  void submissionBehindUnansweredAppendsIsRefusedBeforeItsCallersTimeEnds() {
    store.silent = true;
    for (int index = 0; index < 3; index++) {
      submit("carried" + index, 0);
      run(10);
    }
    submit("waiting", 500);
    run(400);
    assertThat(withReply(LinkReply.Refused.class)).containsExactly("waiting");
    run(2_000);
    store.silent = false;
    run(3_000);
    assertThat(store.holds("waiting")).isFalse();
  }

  /** Guards against acceptances that wait for more than the answer of a store that is slow. */
  @Test
  void slowStoreDelaysAcceptanceByItsAnswersOnly() {
    store.delayMillis = 250;
    for (int index = 0; index < 10; index++) {
      submit("s" + index, 2_880);
      run(200);
    }
    run(500);
    assertThat(withReply(LinkReply.Accepted.class)).hasSize(10);
    for (int index = 0; index < 10; index++) {
      assertThat(acceptedAt.get("s" + index) - 200L * index).isEqualTo(258);
    }
  }

  /**
   * Guards against a delay after one lost answer that is longer than a further append takes. The
   * answer is missed after 0.5 s, and the append is answered when it is sent again 80 ms later.
   */
  @Test
  void oneLostAnswerDelaysLaterSubmissionsByOneAppend() {
    store.silent = true;
    submit("lost", 2_880);
    run(20);
    store.silent = false;
    run(500);
    submit("held", 2_880);
    run(200);
    assertThat(acceptedAt.get("lost")).isEqualTo(593);
    assertThat(acceptedAt.get("held")).isEqualTo(606);
  }

  /** Guards against ends of runs that wait while submissions are held back. */
  @Test
  void otherRecordsAreAppendedWhileSubmissionsAreHeldBack() {
    store.refusing = true;
    submit("held", 0);
    run(200);
    List<String> done = new ArrayList<>();
    journal.put("roster", new byte[] {7});
    journal.afterSave(() -> done.add("saved"));
    run(100);
    store.refusing = false;
    run(200);
    assertThat(done).containsExactly("saved");
    assertThat(withReply(LinkReply.Accepted.class)).containsExactly("held");
  }

  /** Guards against a former owner that claims to have written what it held back. */
  @Test
  void endOfOwnershipTellsWhichSubmissionsMayBeWritten() {
    store.silent = true;
    submit("carried", 0);
    run(600);
    submit("held", 0);
    journal.stop();
    pending.end(3);
    assertThat(replies.get("carried").result()).isEqualTo(new LinkReply.NotOwner(3));
    assertThat(replies.get("held").result()).isEqualTo(LinkReply.NotOwner.notWritten());
    run(3_000);
    assertThat(store.holds("held")).isFalse();
  }

  /**
   * Lets the store refuse, stay silent, and apply appends late, also after they were repeated, and
   * checks every reply against what the store holds in the end.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void repliesAreTrueWhateverTheStoreDoes(long seed) {
    store.faults = new Random(seed);
    Random callers = new Random(seed);
    for (int index = 0; index < 200; index++) {
      submit("s" + index, callers.nextInt(4) == 0 ? 0 : 200 + callers.nextInt(4_000));
      run(20);
    }
    run(2_000);
    store.faults = null;
    store.refusing = false;
    store.silent = false;
    store.delayMillis = 5;
    run(8_000);
    assertThat(replies.values()).allMatch(Future::isComplete);
    assertThat(withReply(LinkReply.Refused.class)).noneMatch(store::holds);
    assertThat(withReply(LinkReply.Accepted.class)).allMatch(store::holds);
    assertThat(cell.size()).isEqualTo(withReply(LinkReply.Accepted.class).size());
  }

  /** Guards against an acknowledged cancellation that a successor does not find, or not in time. */
  @ParameterizedTest
  @MethodSource("seeds")
  void acknowledgedCancellationsAreWrittenWhateverTheStoreDoes(long seed) {
    store.faults = new Random(seed);
    Random callers = new Random(seed);
    Map<String, Integer> appendsWhenAcknowledged = new LinkedHashMap<>();
    for (int index = 0; index < 100; index++) {
      String id = "s" + index;
      boolean early = callers.nextBoolean();
      if (early) {
        cancelUnlessDurable(id, appendsWhenAcknowledged);
      }
      submit(id, 200 + callers.nextInt(4_000));
      run(10L * callers.nextInt(8));
      if (!early) {
        cancelUnlessDurable(id, appendsWhenAcknowledged);
      }
    }
    store.faults = null;
    store.refusing = false;
    store.silent = false;
    store.delayMillis = 5;
    run(8_000);
    assertThat(appendsWhenAcknowledged).isNotEmpty();
    appendsWhenAcknowledged.forEach(
        (id, appends) -> {
          assertThat(store.firstAppendOf(JournalKeys.earlyCancellationKey(id)))
              .isBetween(0, appends - 1);
          if (store.holds(id)) {
            assertThat(cell.status(id).state()).isEqualTo(SubmissionState.CANCELLED);
            assertThat(store.firstAppendOf(JournalKeys.progressKey(id))).isNotNegative();
          }
        });
  }

  private void cancelUnlessDurable(String id, Map<String, Integer> appendsWhenAcknowledged) {
    Submission known = cell.find(id);
    if (known == null || !known.durable()) {
      assertThat(cell.cancelEarly(id, "customer", timers.nowMillis(), 0)).isTrue();
      journal.afterSave(() -> appendsWhenAcknowledged.put(id, store.written.size()));
    }
  }

  /** Guards against an append that the store refuses for its size, so that none follows it. */
  @Test
  void manyOtherRecordsAreWrittenInSeveralAppends() {
    List<String> done = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      journal.put("record" + index, new byte[200_000]);
    }
    submit("after", 0);
    journal.afterSave(() -> done.add("saved at " + store.written.size()));
    run(500);
    assertThat(done).containsExactly("saved at 4");
    assertThat(store.written).hasSize(4).allMatch(append -> bytes(append) <= 1_250_000);
    assertThat(store.firstAppendOf(JournalKeys.specKey("after"))).isEqualTo(3);
  }

  private static long bytes(Append append) {
    return append.records().stream().mapToLong(each -> each.value().length).sum();
  }

  static LongStream seeds() {
    return LongStream.range(0, 200);
  }
}
