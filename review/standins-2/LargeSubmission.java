import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * One tenant hands in a submission of many small tasks, which all fit into the workers at once;
 * another tenant hands in a check every second.
 *
 * <p>Broken if two processes end by themselves three times each (Fault), or if a submission that
 * was accepted gets no answer, or has nothing running, finish_s after the end of the traffic
 * (LOST). All processes, the store, the workers and all links are sound.
 */
public final class LargeSubmission {

  private static final int WORKERS = 32;
  private static final int TASKS = 20_000;
  private static final int SPEC_BYTES = 4_000;
  private static final int CHECKS = 50;
  private static final String LARGE_KEY = "key-of-the-large";
  private static final String CHECK_KEY = "key-of-the-checks";
  private static final String LARGE_PATH = "/large/" + Callers.id(1);

  private LargeSubmission() {}

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
    stage.work = (spec, task, run) -> spec.equals("check") ? 500 : 4_000;
    TreeMap<Long, long[]> perSecond = new TreeMap<>();
    stage.seen =
        event -> {
          String[] words = event.split(" ");
          if (words.length > 2 && !words[0].equals("noted")) {
            long[] counts = perSecond.computeIfAbsent(stage.now() / 1000, key -> new long[4]);
            boolean large = words[2].startsWith(Callers.id(1));
            counts[(large ? 0 : 2) + (words[0].equals("start") ? 0 : 1)]++;
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
        int count = Stage.trouble() ? TASKS : 10;
        String spec = "s".repeat(SPEC_BYTES);
        callers.handIn(
            LARGE_PATH, LARGE_KEY, Callers.body(spec, Callers.step(count, 25, 4_000)));
      }
      callers.handIn(
          "/checks/" + Callers.id(100 + number),
          CHECK_KEY,
          Callers.body("check", Callers.step(2, 1_000, 500)));
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
    List<String> lost = new ArrayList<>();
    for (int index = 0; index < paths.size(); index++) {
      String state = stage.wait(states.get(index));
      if (!state.equals("completed")) {
        lost.add(paths.get(index) + " " + (state.isEmpty() ? "no answer" : state));
      }
    }
    stage.note("starts and ends of the large one, starts and ends of checks, each second:");
    perSecond.forEach(
        (second, counts) ->
            stage.note(
                "  second " + second + ": " + counts[0] + " " + counts[1] + ", " + counts[2] + " "
                    + counts[3]));
    int ending = 0;
    for (Stage.Instance instance : stage.instances) {
      stage.note("instance " + instance.index + " ended by itself at " + instance.exits);
      ending += instance.exits.size() >= 3 ? 1 : 0;
    }
    stage.note(callers.notAccepted.size() + " checks were not accepted in five tries");
    stage.note("Fault: " + ending + " instances ended by themselves three times or more");
    stage.note(
        "LOST: " + lost.size() + " of " + paths.size()
            + " accepted submissions are not shown as completed: " + lost);
    return ending < 2 && lost.isEmpty() ? 0 : 1;
  }
}
