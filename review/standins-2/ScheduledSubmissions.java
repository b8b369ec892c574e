import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One tenant hands in submissions that are due in an hour, a hundred a second for a minute; another
 * tenant hands in a check every second. Then the instance that last wrote to the store is killed
 * once, and is back after a second.
 *
 * <p>Broken if two processes end by themselves three times each (Fault), or if a check that was
 * accepted gets no answer, or has not ended, finish_s after the end of the traffic (LOST).
 */
public final class ScheduledSubmissions {

  private static final int WORKERS = 32;
  private static final int EACH_MILLIS = 10;
  private static final int SPEC_BYTES = 4_000;
  private static final int SCHEDULED = 5_400;
  private static final int DOWN_MILLIS = 1_000;
  private static final long KILL_AT_MILLIS = 60_000;
  private static final long TRAFFIC_MILLIS = 80_000;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final String LATER_KEY = "key-of-the-scheduled";
  private static final String CHECK_KEY = "key-of-the-checks";

  private ScheduledSubmissions() {}

  public static void main(String[] arguments) throws Exception {
    Stage stage = new Stage(Path.of(arguments[0]));
    int code = 2;
    try {
      code = play(stage);
    } catch (Exception error) {
      stage.note("the case could not run: " + error);
    } finally {
      stage.end();
    }
    System.exit(code);
  }

  private static int play(Stage stage) throws Exception {
    stage.work = (spec, task, run) -> 500;
    stage.begin(
        3,
        WORKERS,
        16_000,
        new JsonArray()
            .add(Stage.route("later", "/later/", 1, 4))
            .add(Stage.route("checks", "/checks/", 0, 4)),
        new JsonArray().add(Stage.tenant("one", LATER_KEY)).add(Stage.tenant("two", CHECK_KEY)));
    Thread.sleep(2_000);
    Callers callers = new Callers(stage);
    String body =
        new JsonObject(
                Callers.body(
                    "s".repeat(SPEC_BYTES),
                    Callers.step(25, 1_700, 3_400),
                    Callers.step(25, 1_700, 3_400).put("DependsOn", new JsonArray().add(0))))
            .put("Times", 1)
            .put("StartAtMs", System.currentTimeMillis() + HOUR_MILLIS)
            .encode();
    stage.quiet = "/later/";
    long begun = stage.now();
    int handedIn = 0;
    int checks = 0;
    boolean killed = false;
    while (stage.now() < begun + TRAFFIC_MILLIS) {
      long due = Math.min(SCHEDULED, (stage.now() - begun) / EACH_MILLIS);
      while (handedIn < due) {
        callers.handIn("/later/" + Callers.id(100_000 + handedIn++), LATER_KEY, body);
      }
      if (checks < (stage.now() - begun) / 1_000) {
        callers.handIn(
            "/checks/" + Callers.id(100 + checks++),
            CHECK_KEY,
            Callers.body("check", Callers.step(2, 1_000, 500)));
      }
      if (Stage.trouble() && !killed && stage.now() > begun + KILL_AT_MILLIS) {
        killed = true;
        stage.note(callers.accepted.size() + " submissions were accepted before the kill");
        stage.instances.get(stage.store.lastWriter).kill(DOWN_MILLIS);
      }
      Thread.sleep(EACH_MILLIS);
    }
    int accepted = callers.accepted.size();
    stage.note(
        handedIn + " scheduled submissions were handed in; " + accepted
            + " submissions were accepted in all");
    callers.accepted.keySet().removeIf(path -> path.startsWith("/later/"));
    callers.notAccepted.removeIf(path -> path.startsWith("/later/"));
    long finish = stage.now() + Stage.FINISH_MILLIS;
    Thread.sleep(Stage.FINISH_MILLIS);
    List<String> paths = new ArrayList<>(callers.accepted.keySet());
    List<Future<String>> states = new ArrayList<>();
    for (String path : paths) {
      states.add(callers.ask(path, CHECK_KEY, finish + 3_000));
    }
    List<String> lost = new ArrayList<>();
    for (int index = 0; index < paths.size(); index++) {
      String state = stage.wait(states.get(index));
      if (!state.equals("completed")) {
        lost.add(paths.get(index) + " " + (state.isEmpty() ? "no answer" : state));
      }
    }
    int ending = 0;
    for (Stage.Instance instance : stage.instances) {
      stage.note("instance " + instance.index + " ended by itself at " + instance.exits);
      ending += instance.exits.size() >= 3 ? 1 : 0;
    }
    stage.note(callers.notAccepted.size() + " checks were not accepted in five tries");
    stage.note("Fault: " + ending + " instances ended by themselves three times or more");
    stage.note(
        "LOST: " + lost.size() + " of " + paths.size()
            + " accepted checks are not shown as completed: " + lost);
    return ending < 2 && lost.isEmpty() ? 0 : 1;
  }
}
