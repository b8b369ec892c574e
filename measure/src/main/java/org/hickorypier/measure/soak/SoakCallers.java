package org.hickorypier.measure.soak;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.hickorypier.core.cell.TaskName;
import org.hickorypier.core.model.Resources;
import org.hickorypier.core.submission.StepFlags;
import org.hickorypier.core.submission.StepSpec;
import org.hickorypier.core.submission.SubmissionSpec;
import org.hickorypier.core.submission.SubmissionState;
import org.hickorypier.core.verification.GuaranteeChecker;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * The callers of a soak: they hand in, try again elsewhere, ask, cancel, and hold a withdrawn key.
 *
 * <p>All of it runs on one event loop of its own, so nothing here is shared between threads but
 * what the constructor is given.
 */
final class SoakCallers {

  private static final int CONNECTIONS = 8;
  private static final long CALL_MILLIS = 3_000;
  private static final long TRY_AGAIN_MILLIS = 300;
  private static final int MOST_TRIES = 5;
  private static final long ASK_MILLIS = 400;

  private static final long ESTIMATE_MILLIS = 500;

  /** One submission in eight is cancelled. */
  private static final int CANCEL_SHARE = 8;

  /** Of a soak with crashing tasks, each eighth submission has one, up to three. */
  private static final int CRASHING_SHARE = 8;

  private static final int MOST_CRASHING = 3;
  private static final String CRASHING_PREFIX = "c";

  /**
   * Of a soak with restarted workers, each third submission has tasks that take longer than a
   * lease.
   */
  private static final int LONG_SHARE = 3;

  private static final String LONG_PREFIX = "d";
  private static final long LONG_ESTIMATE_MILLIS = 12_000;
  private static final Resources LONG_TASK = new Resources(1_000, 1_000, 0);

  private static final int MOST_LASTING = 8;
  private static final int LASTING_SPREAD_MILLIS = 2_000;

  /** One submission that lasts in four is cancelled, some time within the load. */
  private static final int CANCEL_SHARE_OF_LASTING = 4;

  private static final int LASTING_CANCEL_MILLIS = 20_000;

  /** Of a soak with large submissions, each fourth submission is due later. */
  private static final int SCHEDULED_SHARE = 4;

  private static final String SCHEDULED_PREFIX = "b";
  private static final int SHORTEST_DELAY_MILLIS = 1_000;
  private static final int DELAY_SPREAD_MILLIS = 20_000;

  /** Each twentieth submission of such a soak has many tasks and many steps in turn. */
  private static final int MANY_SHARE = 20;

  private static final String MANY_PREFIX = "a";
  private static final int MANY_TASKS = 2_000;
  private static final int MANY_STEPS = 300;
  private static final Resources MANY_TASK = new Resources(25, 10, 0);
  private static final String LONG_TEXT = "t".repeat(4_000);

  private static final String FAILING_PREFIX = "e";
  private static final int FAILING_TASKS = 20;
  private static final Resources FAILING_TASK = new Resources(100, 10, 0);
  private static final int FAILING_CANCEL_MILLIS = 15_000;

  /** One submission in ten is cancelled while its callers still wait for the answer. */
  private static final int EARLY_CANCEL_SHARE = 10;

  private static final int EARLY_CANCEL_SPREAD_MILLIS = 150;

  /** An accepted submission must be known everywhere after this time. */
  private static final long VISIBLE_MILLIS = 3_000;

  /** A withdrawn key must not work any more after this time. */
  private static final long WITHDRAWN_MILLIS = 5_000;

  private final Vertx vertx;
  private final PooledHttpClient calls;
  private final StandInPlatform platform;
  private final List<ServiceAddress> fronts;
  private final GuaranteeChecker checker;
  private final LastingTaskCheck lasting;
  private final Random random;

  /** Draws what concerns submissions that last, so that the others do not depend on them. */
  private final Random randomOfLasting;

  /** Draws what concerns early cancellations, so that all else does not depend on them. */
  private final Random randomOfEarlyCancels;

  /**
   * Submissions whose cancellation was acknowledged before any answer said that they have ended.
   */
  private final Set<String> cancelledEarly = new TreeSet<>();

  private final Set<String> open = new TreeSet<>();
  private final List<String> unlawful = new ArrayList<>();
  private int handedIn;
  private int accepted;
  private int refused;
  private int lastingHandedIn;
  private final SoakSettings settings;
  private boolean handingIn = true;
  private boolean stopped;

  SoakCallers(
      Vertx vertx,
      StandInPlatform platform,
      List<ServiceAddress> fronts,
      GuaranteeChecker checker,
      LastingTaskCheck lasting,
      SoakSettings settings,
      long seed) {
    this.settings = settings;
    this.vertx = vertx;
    this.calls = new PooledHttpClient(vertx, CONNECTIONS);
    this.platform = platform;
    this.fronts = List.copyOf(fronts);
    this.checker = checker;
    this.lasting = lasting;
    this.random = new Random(seed);
    this.randomOfLasting = new Random(~seed);
    this.randomOfEarlyCancels = new Random(~seed * 31);
  }

  /** Hands in one submission after another, at most so far apart, until {@link #rest}. */
  void begin(int spreadMillis) {
    if (handingIn) {
      handIn(nextId());
      vertx.setTimer(1 + random.nextInt(spreadMillis), timer -> begin(spreadMillis));
    }
  }

  private String nextId() {
    int number = ++handedIn;
    boolean crashing =
        settings.crashing()
            && number % CRASHING_SHARE == 0
            && number <= CRASHING_SHARE * MOST_CRASHING;
    if (crashing) {
      return CRASHING_PREFIX + "%015x".formatted(number);
    }
    if (settings.large()) {
      return largePrefix(number) + "%015x".formatted(number);
    }
    return settings.restarting() && number % LONG_SHARE == 0
        ? LONG_PREFIX + "%015x".formatted(number)
        : "%016x".formatted(number);
  }

  private static String largePrefix(int number) {
    if (number == 1) {
      return FAILING_PREFIX;
    } else if (number % MANY_SHARE == 0) {
      return MANY_PREFIX;
    }
    return number % SCHEDULED_SHARE == 0 ? SCHEDULED_PREFIX : "0";
  }

  /** Tells whether a task fails at each start. */
  static boolean fails(String task) {
    return task.startsWith(FAILING_PREFIX);
  }

  /** Tells whether a task takes longer than the longest lease. */
  static boolean takesLong(String task) {
    return task.startsWith(LONG_PREFIX);
  }

  /** Tells whether a task crashes the workers that start it: the first of its submission. */
  static boolean crashesItsWorkers(String task) {
    return task.startsWith(CRASHING_PREFIX) && task.endsWith(".0.0.0");
  }

  /** Hands in submissions that last, one after another, until {@link #rest} or there are enough. */
  void beginLasting() {
    if (handingIn && lastingHandedIn < MOST_LASTING) {
      handIn(lastingSpec("f%015x".formatted(++lastingHandedIn)));
      vertx.setTimer(1 + randomOfLasting.nextInt(LASTING_SPREAD_MILLIS), timer -> beginLasting());
    }
  }

  void rest() {
    handingIn = false;
  }

  /** Makes no call any more; what was under way may still end. */
  void stop() {
    stopped = true;
  }

  /** Returns the accepted submissions that have not come to an end. */
  Set<String> open() {
    return new TreeSet<>(open);
  }

  List<String> unlawful() {
    return List.copyOf(unlawful);
  }

  String summary() {
    return (handedIn + lastingHandedIn)
        + " handed in, "
        + accepted
        + " accepted, "
        + refused
        + " refused";
  }

  private void handIn(String id) {
    if (settings.large() && !id.startsWith("0")) {
      handIn(largeSpec(id));
      return;
    }
    boolean small = random.nextBoolean() && !takesLong(id);
    handIn(spec(id, small ? StandInPlatform.SMALL : StandInPlatform.LARGE));
  }

  private void handIn(SubmissionSpec spec) {
    checker.recordSubmitted(spec);
    if (spec.id().startsWith(CRASHING_PREFIX)) {
      checker.declareCrashing(new TaskName(spec.id(), 0, 0, 0));
    }
    if (!fails(spec.id())) {
      lasting.handedIn(spec);
    }
    attempt(spec, MOST_TRIES, true);
    if (!lasting.lasts(spec.id()) && randomOfEarlyCancels.nextInt(EARLY_CANCEL_SHARE) == 0) {
      int delay = 1 + randomOfEarlyCancels.nextInt(EARLY_CANCEL_SPREAD_MILLIS);
      vertx.setTimer(delay, timer -> cancelEarly(spec));
    }
  }

  private SubmissionSpec spec(String id, String customer) {
    Function<List<Integer>, StepSpec> step = takesLong(id) ? this::longStep : this::step;
    StepSpec first = step.apply(List.of());
    List<StepSpec> steps =
        random.nextInt(3) == 0 ? List.of(first, step.apply(List.of(0))) : List.of(first);
    return new SubmissionSpec(id, customer, StandInPlatform.QUEUE, "text", steps, 0, 0, 0, 0);
  }

  private SubmissionSpec largeSpec(String id) {
    List<StepSpec> steps;
    int times = 0;
    long startAtMillis = 0;
    if (id.startsWith(SCHEDULED_PREFIX)) {
      steps = List.of(step(List.of()), step(List.of(0)));
      times = 1 + random.nextInt(2);
      startAtMillis =
          System.currentTimeMillis() + SHORTEST_DELAY_MILLIS + random.nextInt(DELAY_SPREAD_MILLIS);
    } else if (id.startsWith(FAILING_PREFIX)) {
      StepFlags flags = new StepFlags(false, false, false, false, true, false);
      steps =
          List.of(
              new StepSpec(
                  FAILING_TASKS, FAILING_TASK, 500, List.of(), flags, "", "", 0, "", 0, 1));
    } else if (random.nextBoolean()) {
      steps = List.of(newStep(MANY_TASKS, MANY_TASK, ESTIMATE_MILLIS, List.of()));
    } else {
      steps = Collections.nCopies(MANY_STEPS, newStep(1, MANY_TASK, ESTIMATE_MILLIS, List.of()));
    }
    return new SubmissionSpec(
        id,
        StandInPlatform.LARGE,
        StandInPlatform.QUEUE,
        LONG_TEXT,
        steps,
        times,
        startAtMillis,
        times > 0 ? SHORTEST_DELAY_MILLIS : 0,
        0);
  }

  private SubmissionSpec lastingSpec(String id) {
    Resources each = new Resources(1_000 + 500L * randomOfLasting.nextInt(5), 1_000, 0);
    StepFlags flags = new StepFlags(false, false, false, false, true, false);
    int count = 1 + randomOfLasting.nextInt(4);
    StepSpec step = new StepSpec(count, each, 500, List.of(), flags, "", "", 0, "", 0, 1);
    return new SubmissionSpec(
        id, StandInPlatform.LARGE, StandInPlatform.QUEUE, "text", List.of(step), 0, 0, 0, 0);
  }

  private StepSpec step(List<Integer> dependsOn) {
    Resources each = new Resources(1_000 + 500L * random.nextInt(7), 1_000, 0);
    return newStep(1 + random.nextInt(4), each, ESTIMATE_MILLIS, dependsOn);
  }

  private StepSpec longStep(List<Integer> dependsOn) {
    return newStep(2 + random.nextInt(5), LONG_TASK, LONG_ESTIMATE_MILLIS, dependsOn);
  }

  private static StepSpec newStep(
      int count, Resources each, long estimateMillis, List<Integer> dependsOn) {
    return new StepSpec(
        count, each, estimateMillis, dependsOn, StepFlags.NONE, "", "", 0, "", 0, 0);
  }

  private void attempt(SubmissionSpec spec, int triesLeft, boolean allRefused) {
    call(HttpMethod.POST, spec, body(spec))
        .onSuccess(
            reply -> {
              boolean refusal = reply.status() == 429 || reply.status() == 503;
              if (reply.status() / 100 == 2) {
                accepted(spec);
              } else if (triesLeft > 1) {
                vertx.setTimer(
                    TRY_AGAIN_MILLIS, timer -> attempt(spec, triesLeft - 1, allRefused && refusal));
              } else if (allRefused && refusal) {
                refused++;
                checker.recordRejected(spec.id());
              }
            });
  }

  private void accepted(SubmissionSpec spec) {
    accepted++;
    final long acceptedAt = now();
    if (lasting.lasts(spec.id())) {
      lastingAccepted(spec);
    } else {
      open.add(spec.id());
      if (fails(spec.id())) {
        vertx.setTimer(FAILING_CANCEL_MILLIS, timer -> cancel(spec));
      } else if (random.nextInt(CANCEL_SHARE) == 0) {
        vertx.setTimer(1 + random.nextInt(2_000), timer -> cancel(spec));
      }
    }
    vertx.setTimer(ASK_MILLIS, timer -> ask(spec, acceptedAt));
  }

  private void lastingAccepted(SubmissionSpec spec) {
    lasting.accepted(spec.id());
    if (randomOfLasting.nextInt(CANCEL_SHARE_OF_LASTING) == 0) {
      vertx.setTimer(
          1 + randomOfLasting.nextInt(LASTING_CANCEL_MILLIS),
          timer -> {
            open.add(spec.id());
            lasting.cancelling(spec.id());
            cancel(spec);
          });
    }
  }

  private void ask(SubmissionSpec spec, long acceptedAt) {
    long sentAt = now();
    call(HttpMethod.GET, spec, null)
        .onSuccess(
            reply -> {
              if (reply.status() == 410 && sentAt > acceptedAt + VISIBLE_MILLIS) {
                checker.recordUnfinished(spec.id(), "not known");
                open.remove(spec.id());
                return;
              }
              SubmissionState state = reply.status() == 200 ? state(reply) : null;
              if (state != null) {
                checker.checkShownState(spec.id(), state);
              }
              if (state != null
                  && state.isTerminal()
                  && state != SubmissionState.CANCELLED
                  && cancelledEarly.contains(spec.id())) {
                unlawful.add(
                    spec.id() + " is " + state + ", after its cancelling was acknowledged");
              }
              if (state != null && state.isTerminal()) {
                open.remove(spec.id());
              } else {
                vertx.setTimer(ASK_MILLIS, timer -> ask(spec, acceptedAt));
              }
            });
  }

  private static SubmissionState state(HttpReply reply) {
    String word = new JsonObject(reply.body()).getString("State");
    return SubmissionState.valueOf(word.toUpperCase(Locale.ROOT));
  }

  private void cancel(SubmissionSpec spec) {
    call(HttpMethod.DELETE, spec, null)
        .onSuccess(
            reply -> {
              if (reply.status() == 200 && state(reply) == SubmissionState.CANCELLED) {
                checker.recordCancelAcknowledged(spec.id());
              } else if (reply.status() != 200) {
                vertx.setTimer(TRY_AGAIN_MILLIS, timer -> cancel(spec));
              }
            });
  }

  private void cancelEarly(SubmissionSpec spec) {
    ServiceAddress front = fronts.get(randomOfEarlyCancels.nextInt(fronts.size()));
    String path = StandInPlatform.PREFIX + spec.id();
    send(front, HttpMethod.DELETE, path, platform.key(spec.customer()), null)
        .onSuccess(
            reply -> {
              boolean ended = reply.status() == 200 && state(reply) != SubmissionState.CANCELLED;
              if (reply.status() == 410 || reply.status() == 200 && !ended) {
                cancelledEarly.add(spec.id());
                checker.recordCancelAcknowledged(spec.id());
              } else if (!ended) {
                vertx.setTimer(TRY_AGAIN_MILLIS, timer -> cancelEarly(spec));
              }
            });
  }

  /** Goes on using a key that was withdrawn; late uses must all be turned away. */
  void useWithdrawn(String key) {
    vertx.setTimer(
        WITHDRAWN_MILLIS,
        timer -> {
          for (ServiceAddress front : fronts) {
            send(front, HttpMethod.GET, StandInPlatform.PREFIX + "f".repeat(16), key, null)
                .onSuccess(
                    reply -> {
                      if (reply.status() == 200 || reply.status() == 410) {
                        unlawful.add("a withdrawn key was taken at " + front + ": " + key);
                      }
                    });
          }
        });
  }

  private Future<HttpReply> call(HttpMethod method, SubmissionSpec spec, Buffer body) {
    ServiceAddress front = fronts.get(random.nextInt(fronts.size()));
    String key = platform.key(spec.customer());
    return send(front, method, StandInPlatform.PREFIX + spec.id(), key, body);
  }

  private Future<HttpReply> send(
      ServiceAddress front, HttpMethod method, String path, String key, Buffer body) {
    if (stopped) {
      return Promise.<HttpReply>promise().future();
    }
    Map<String, String> headers =
        Map.of(
            "Host",
            StandInPlatform.HOST,
            "Authorization",
            "Bearer " + key,
            "Hickorypier-Deadline-Ms",
            "" + CALL_MILLIS);
    return calls
        .call(front, method, path, headers, body, CALL_MILLIS)
        .otherwise(new HttpReply(0, Buffer.buffer()));
  }

  private static Buffer body(SubmissionSpec spec) {
    JsonArray steps = new JsonArray();
    for (StepSpec step : spec.steps()) {
      JsonObject each =
          new JsonObject()
              .put("Count", step.count())
              .put("Cpu", step.taskResources().milliProcessors())
              .put("MemMb", step.taskResources().memoryMebibytes())
              .put("EstimateMs", step.estimateMillis())
              .put("DependsOn", new JsonArray(step.dependsOn()));
      if (step.flags().persistent()) {
        each.put("Persistent", true).put("MaxUnavailable", step.maxUnavailable());
      }
      steps.add(each);
    }
    JsonObject body = new JsonObject().put("Spec", spec.text()).put("Phases", steps);
    if (spec.isScheduled()) {
      body.put("Times", spec.times())
          .put("StartAtMs", spec.startAtMillis())
          .put("IntervalMs", spec.intervalMillis());
    }
    return body.toBuffer();
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }
}
