import io.vertx.core.json.JsonArray;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A large submission of small tasks, most of which end while no instance runs: all instances are
 * killed at the same moment and are back two seconds later, before any lease has lapsed. Each
 * worker then lists more ends than it returns at a time.
 *
 * <p>Broken (TWICE) if a task starts after a run of it has ended done, and that end is taken note
 * of at some time, without a lapse of the worker's lease between the two.
 */
public final class ManyEnds {

  private static final int WORKERS = 4;
  private static final int TASKS = 1_400 * WORKERS;

  /** Each worker runs more tasks than it returns ends at a time. */
  private static final int LEAST_RUNNING = 1_050 * WORKERS;

  private static final int WORK_MILLIS = 2_300;
  private static final int DOWN_MILLIS = 2_000;
  private static final String KEY = "key-of-the-tenant";

  private ManyEnds() {}

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

  /** What the workers have seen of one task. */
  private static final class Task {
    final List<String> lines = new ArrayList<>();
    final Set<String> done = new HashSet<>();
    final Set<String> lapsedSince = new HashSet<>();
    boolean startAfterDone;
    boolean doneNoted;
  }

  private static int play(Stage stage) throws Exception {
    stage.work = (spec, task, run) -> WORK_MILLIS;
    Map<String, Task> tasks = new HashMap<>();
    TreeMap<Long, long[]> perTenth = new TreeMap<>();
    stage.seen =
        event -> {
          String[] words = event.split(" ");
          if (words[0].equals("lapsed")) {
            tasks.values().stream()
                .flatMap(task -> task.done.stream().map(run -> Map.entry(task, run)))
                .filter(each -> each.getValue().startsWith(words[1] + " "))
                .forEach(each -> each.getKey().lapsedSince.add(each.getValue()));
            return;
          }
          Task task = tasks.computeIfAbsent(words[2], name -> new Task());
          task.lines.add(stage.now() + " ms: " + event);
          String run = words[1] + " " + words[3];
          long[] counts = perTenth.computeIfAbsent(stage.now() / 500, key -> new long[3]);
          switch (words[0]) {
            case "start" -> {
              counts[0]++;
              task.startAfterDone |= !task.done.isEmpty();
            }
            case "end" -> {
              counts[1]++;
              if (words[4].equals("done")) {
                task.done.add(run);
              }
            }
            default -> {
              counts[2]++;
              task.doneNoted |= words[4].equals("done") && !task.lapsedSince.contains(run);
            }
          }
        };
    stage.begin(
        3,
        WORKERS,
        16_000,
        new JsonArray().add(Stage.route("checks", "/checks/", 1, 4)),
        new JsonArray().add(Stage.tenant("one", KEY)));
    Thread.sleep(2_000);
    Callers callers = new Callers(stage);
    String path = "/checks/" + Callers.id(1);
    boolean accepted =
        stage.wait(
            callers.handIn(
                path, KEY, Callers.body("check", Callers.step(TASKS, 11, WORK_MILLIS))));
    long begun = stage.now();
    // A slow machine may not have started all tasks when the first of them ends.
    while (stage.starts < TASKS && stage.ends == 0 && stage.now() < begun + 10_000) {
      Thread.sleep(20);
    }
    long running = stage.starts - stage.ends;
    stage.note(stage.starts + " starts, " + stage.ends + " ends");
    if (!accepted || running < LEAST_RUNNING) {
      stage.note("too few of the tasks run at once");
      return 2;
    }
    if (Stage.trouble()) {
      stage.instances.forEach(instance -> instance.kill(DOWN_MILLIS));
    }
    String state = "";
    while (!"completed".equals(state) && stage.now() < begun + 40_000) {
      Thread.sleep(1_000);
      state = stage.wait(callers.ask(path, KEY, stage.now() + 2_000));
    }
    Thread.sleep(2_000);
    stage.note("starts, ends, ends taken note of, each half second:");
    perTenth.forEach(
        (half, counts) ->
            stage.note("  " + half / 2.0 + " s: " + counts[0] + " " + counts[1] + " " + counts[2]));
    int twice = 0;
    for (Map.Entry<String, Task> each : tasks.entrySet()) {
      if (each.getValue().startAfterDone && each.getValue().doneNoted) {
        twice++;
        if (twice <= 10) {
          stage.note(each.getKey() + ":");
          each.getValue().lines.forEach(line -> stage.note("  " + line));
        }
      }
    }
    stage.note("state at the end: " + state);
    stage.note("TWICE: " + twice + " of " + TASKS + " tasks started after an end done was noted");
    return twice == 0 ? 0 : 1;
  }
}
