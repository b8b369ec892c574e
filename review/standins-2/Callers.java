import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The callers of a case: they hand in, ask and cancel as the pages say. Used on one thread. */
final class Callers {

  private final Stage stage;

  /** The paths of the submissions that were accepted, with their last known state. */
  final Map<String, String> accepted = new LinkedHashMap<>();

  final List<String> notAccepted = new ArrayList<>();
  private int next;

  Callers(Stage stage) {
    this.stage = stage;
  }

  static JsonObject step(int count, int cpu, int estimateMillis) {
    return new JsonObject()
        .put("Count", count)
        .put("Cpu", cpu)
        .put("MemMb", 16)
        .put("EstimateMs", estimateMillis);
  }

  static String body(String spec, JsonObject... steps) {
    JsonArray phases = new JsonArray();
    for (JsonObject step : steps) {
      phases.add(step);
    }
    return new JsonObject().put("Spec", spec).put("Phases", phases).encode();
  }

  static String id(int number) {
    return String.format("%08x%08x", 0x5c0e7a21, number);
  }

  private Stage.Instance instance() {
    return stage.instances.get(next++ % stage.instances.size());
  }

  /** Hands in, and tries again at the next instance after 5xx or no answer, four times at most. */
  Future<Boolean> handIn(String path, String key, String body) {
    return handIn(path, key, body, 4);
  }

  private Future<Boolean> handIn(String path, String key, String body, int triesLeft) {
    return stage
        .call(instance(), HttpMethod.POST, path, key, body)
        .compose(
            reply -> {
              if (reply.status() == 200) {
                accepted.put(path, "accepted");
                return Future.succeededFuture(true);
              }
              if (triesLeft == 0) {
                notAccepted.add(path);
                return Future.succeededFuture(false);
              }
              return later(1_000).compose(none -> handIn(path, key, body, triesLeft - 1));
            });
  }

  /** Cancels, and tries again at the next instance until there is an answer or the time is over. */
  Future<Boolean> cancel(String path, String key, long until) {
    return stage
        .call(instance(), HttpMethod.DELETE, path, key, null)
        .compose(
            reply -> {
              if (reply.status() / 100 == 2 || reply.status() == 410) {
                return Future.succeededFuture(stage.now() <= until);
              }
              return stage.now() >= until
                  ? Future.succeededFuture(false)
                  : later(500).compose(none -> cancel(path, key, until));
            });
  }

  /** Asks for a state at one instance after another; "" if none answers 200 or 410 in time. */
  Future<String> ask(String path, String key, long until) {
    return stage
        .call(instance(), HttpMethod.GET, path, key, null)
        .compose(
            reply -> {
              if (reply.status() == 200) {
                return Future.succeededFuture(new JsonObject(reply.body()).getString("State"));
              }
              if (reply.status() == 410) {
                return Future.succeededFuture("410");
              }
              return stage.now() >= until
                  ? Future.succeededFuture("")
                  : later(500).compose(none -> ask(path, key, until));
            });
  }

  private Future<Void> later(long millis) {
    Promise<Void> done = Promise.promise();
    stage.vertx.setTimer(millis, timer -> done.complete());
    return done.future();
  }
}
