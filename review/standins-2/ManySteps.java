import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * One tenant hands in one submission of many steps that don't depend on each other; another tenant
 * hands in a check every second.
 *
 * <p>Broken (LOST) if a submission that was accepted gets no answer finish_s after the end of the
 * traffic, or has not ended and has nothing running for 3 s while the workers are empty. All
 * processes, the store, the workers and all links are sound.
 */
public final class ManySteps {

  private static final int WORKERS = 32;
  private static final int STEPS = 1_000;
  private static final int CHECKS = 40;
  private static final int WORK_MILLIS = 500;
  private static final String LARGE_KEY = "key-of-the-large";
  private static final String CHECK_KEY = "key-of-the-checks";
  private static final String LARGE_PATH = "/large/" + Callers.id(1);

  private ManySteps() {}

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

  private static String large(int count) {
    JsonObject[] steps = new JsonObject[count];
    for (int index = 0; index < count; index++) {
      steps[index] = Callers.step(1, 100, WORK_MILLIS);
    }
    return Callers.body("large", steps);
  }

  private static int play(Stage stage) throws Exception {
    stage.work = (spec, task, run) -> WORK_MILLIS;
    TreeMap<Long, long[]> perSecond = new TreeMap<>();
    long[] lastStart = new long[1];
    stage.seen =
        event -> {
          String[] words = event.split(" ");
          if (words.length > 2 && !words[0].equals("noted")) {
            long[] counts = perSecond.computeIfAbsent(stage.now() / 1000, key -> new long[4]);
            boolean large = words[2].startsWith(Callers.id(1));
            counts[(large ? 0 : 2) + (words[0].equals("start") ? 0 : 1)]++;
            lastStart[0] = words[0].equals("start") ? stage.now() : lastStart[0];
          }
        };
    stage.begin(
        3,
        WORKERS,
        16_000,
        new JsonArray()
            .add(Stage.route("large", "/large/", 1, 4))
            .add(Stage.route("checks", "/checks/", 0, 4)),
        new JsonArray().add(Stage.tenant("one", LARGE_KEY)).add(Stage.tenant("two", CHECK_KEY)));
    Thread.sleep(2_000);
    Callers callers = new Callers(stage);
    for (int number = 0; number < CHECKS; number++) {
      if (number == 5) {
        String body = large(Stage.trouble() ? STEPS : 5);
        stage.note("the large submission has a body of " + body.length() + " bytes");
        callers.handIn(LARGE_PATH, LARGE_KEY, body);
      }
      callers.handIn(
          "/checks/" + Callers.id(100 + number),
          CHECK_KEY,
          Callers.body("check", Callers.step(2, 1_000, WORK_MILLIS)));
      Thread.sleep(1_000);
    }
    long finish = stage.now() + Stage.FINISH_MILLIS;
    Thread.sleep(Stage.FINISH_MILLIS);
    List<String> paths = new ArrayList<>(callers.accepted.keySet());
    List<Future<String>> states = new ArrayList<>();
    for (String path : paths) {
      String key = path.startsWith("/large/") ? LARGE_KEY : CHECK_KEY;
      states.add(callers.ask(path, key, finish + 3_000));
    }
    List<String> unanswered = new ArrayList<>();
    List<String> waiting = new ArrayList<>();
    for (int index = 0; index < paths.size(); index++) {
      String state = stage.wait(states.get(index));
      if (state.isEmpty() || state.equals("410")) {
        unanswered.add(paths.get(index) + " " + (state.isEmpty() ? "no answer" : state));
      } else if (!state.equals("completed")) {
        waiting.add(paths.get(index) + " " + state);
      }
    }
    int[] running = new int[1];
    stage.onLoop(() -> stage.workers.forEach(worker -> running[0] += worker.running.size()));
    long idleMillis = stage.now() - lastStart[0];
    stage.note("starts and ends of the large one, starts and ends of checks, each second:");
    perSecond.forEach(
        (second, counts) ->
            stage.note(
                "  second " + second + ": " + counts[0] + " " + counts[1] + ", " + counts[2] + " "
                    + counts[3]));
    stage.note(
        callers.notAccepted.size() + " of " + CHECKS + " checks were not accepted in five tries");
    stage.note(
        running[0] + " tasks run on " + WORKERS + " workers; the last start was " + idleMillis
            + " ms ago");
    stage.note("LOST: " + unanswered.size() + " accepted ones get no answer: " + unanswered);
    boolean idle = running[0] == 0 && idleMillis > 3_000;
    stage.note(
        "LOST: " + (idle ? waiting.size() : 0) + " accepted ones have nothing running: " + waiting);
    return unanswered.isEmpty() && (waiting.isEmpty() || !idle) ? 0 : 1;
  }
}
