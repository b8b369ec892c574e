package org.hickorypier.measure.soak;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickorypier.core.verification.GuaranteeChecker;
import org.hickorypier.measure.fleet.FleetException;
import org.hickorypier.platform.http.HttpReply;
import org.hickorypier.platform.http.PooledHttpClient;
import org.hickorypier.platform.http.ServiceAddress;

/**
 * Plays one seed: starts a small cluster, loads and disturbs it, lets it rest, and checks.
 *
 * <p>Not thread safe; one run an object. Ends only the processes that it has started.
 */
final class SoakRun {

  private static final long START_MILLIS = 20_000;
  private static final long ASK_READY_MILLIS = 1_000;
  private static final long LOOK_MILLIS = 50;

  private final long seed;
  private final SoakSettings settings;
  private final long begun = System.nanoTime();
  private final long begunAt = System.currentTimeMillis();
  private final List<InstanceProcess> instances = new ArrayList<>();

  SoakRun(long seed, SoakSettings settings) {
    this.seed = seed;
    this.settings = settings;
  }

  SoakResult play() throws SoakException {
    Vertx vertx = Vertx.vertx();
    try {
      Path folder = Files.createTempDirectory("hickorypier-soak");
      try {
        return play(vertx, folder);
      } catch (FleetException error) {
        throw new SoakException("seed " + seed + ": " + error.getMessage(), error);
      } finally {
        instances.forEach(InstanceProcess::close);
        remove(folder);
      }
    } catch (IOException error) {
      throw new SoakException("no folder for the settings", error);
    } finally {
      Waiting.forResult(vertx.close());
    }
  }

  private SoakResult play(Vertx vertx, Path folder) throws SoakException, FleetException {
    GuaranteeChecker checker = new GuaranteeChecker(this::sinceStart);
    LastingTaskCheck lasting = new LastingTaskCheck(this::sinceStart);
    StandInPlatform platform =
        new StandInPlatform(vertx, settings.workers(), checker, lasting, seed);
    List<ServiceAddress> fronts = new ArrayList<>();
    for (int index = 0; index < settings.instances(); index++) {
      InstanceProcess instance = new InstanceProcess(vertx, index, folder, platform.storeAddress());
      instances.add(instance);
      fronts.add(Waiting.forResult(instance.callers.listen()));
      instance.start();
    }
    awaitReady(vertx);
    final List<Disturbance> plan = plan();
    SoakCallers callers =
        new SoakCallers(vertx, platform, fronts, checker, lasting, settings, seed);
    Disturber disturber = new Disturber(vertx, platform, instances, callers, lasting);
    vertx.runOnContext(none -> callers.begin(settings.handInSpreadMillis()));
    if (settings.release()) {
      vertx.runOnContext(none -> callers.beginLasting());
      vertx.setPeriodic(LOOK_MILLIS, timer -> lasting.look());
    }
    final long loadBegun = sinceStart();
    disturb(plan, disturber);
    vertx.runOnContext(none -> callers.rest());
    disturber.calm();
    Set<String> left = awaitEnds(vertx, callers, lasting);
    left.forEach(id -> checker.recordUnfinished(id, "not at an end after all was calm"));
    List<String> broken = new ArrayList<>(checker.violations());
    broken.addAll(lasting.broken());
    lasting.unsettled().forEach(task -> broken.add(task + " after all was calm"));
    broken.addAll(Waiting.forResult(onLoop(vertx, callers::unlawful)));
    vertx.runOnContext(none -> callers.stop());
    String summary = callers.summary() + ", " + checker.startCount() + " starts";
    summary += settings.release() ? ", " + lasting.summary() : "";
    SoakResult result = new SoakResult(seed, broken, plan, summary);
    if (!broken.isEmpty()) {
      List<String> record = new ArrayList<>(lasting.record());
      record.add(0, "times since " + Instant.ofEpochMilli(begunAt) + ", load from " + loadBegun);
      report(result, record);
    }
    return result;
  }

  private List<Disturbance> plan() {
    if (settings.release()) {
      return ReleasePlan.draw(seed, settings);
    }
    if (settings.restarting()) {
      return RestartPlan.draw(seed, settings);
    }
    List<Disturbance> drawn =
        DisturbancePlan.draw(seed, settings.disturbances(), settings.loadMillis());
    if (settings.crashing()) {
      drawn.addAll(DisturbancePlan.drawShrinking(seed, settings.loadMillis()));
      drawn.sort(Comparator.comparingLong(Disturbance::atMillis));
    }
    return drawn;
  }

  private long sinceStart() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
  }

  private void awaitReady(Vertx vertx) throws SoakException {
    PooledHttpClient calls = new PooledHttpClient(vertx, 1);
    for (InstanceProcess instance : instances) {
      boolean ready = Waiting.until(START_MILLIS, () -> ready(calls, instance));
      if (!ready) {
        throw new SoakException("an instance is not ready:\n" + instance.output(), null);
      }
    }
  }

  private static boolean ready(PooledHttpClient calls, InstanceProcess instance)
      throws SoakException {
    HttpReply reply =
        Waiting.forResult(
            calls
                .call(
                    instance.ready(),
                    HttpMethod.GET,
                    "/hickorypier/ready",
                    Map.of(),
                    null,
                    ASK_READY_MILLIS)
                .otherwise(new HttpReply(0, Buffer.buffer())));
    return reply.status() == 200;
  }

  private void disturb(List<Disturbance> plan, Disturber disturber)
      throws SoakException, FleetException {
    long from = sinceStart();
    for (Disturbance next : plan) {
      Waiting.pause(Math.max(0, from + next.atMillis() - sinceStart()));
      disturber.begin(next);
    }
    Waiting.pause(Math.max(0, from + settings.loadMillis() - sinceStart()));
  }

  private Set<String> awaitEnds(Vertx vertx, SoakCallers callers, LastingTaskCheck lasting)
      throws SoakException {
    Waiting.until(
        settings.calmMillis(),
        () ->
            Waiting.forResult(onLoop(vertx, callers::open)).isEmpty()
                && lasting.unsettled().isEmpty());
    return Waiting.forResult(onLoop(vertx, callers::open));
  }

  private static <T> Future<T> onLoop(Vertx vertx, Supplier<T> question) {
    Promise<T> answer = Promise.promise();
    vertx.runOnContext(none -> answer.complete(question.get()));
    return answer.future();
  }

  /** Keeps what is needed to find the cause: the breaches, the plan and all logs. */
  private void report(SoakResult result, List<String> record) throws SoakException {
    try {
      Files.createDirectories(settings.reports());
      List<String> lines = new ArrayList<>(result.broken());
      result.disturbances().forEach(next -> lines.add("" + next));
      lines.addAll(record);
      Files.write(settings.reports().resolve("seed-" + seed + ".txt"), lines);
      for (int index = 0; index < instances.size(); index++) {
        Files.writeString(
            settings.reports().resolve("seed-" + seed + "-instance-" + index + ".log"),
            instances.get(index).output());
      }
    } catch (IOException error) {
      throw new SoakException("the report cannot be written", error);
    }
  }

  private static void remove(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }
}
