import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A service whose tasks fail soon after each start, beside the work of another tenant, which hands
 * in checks and cancels longer submissions.
 *
 * <p>Broken if more than a tenth of the cancels, three at least, have no 2xx or 410 after AckMs
 * (Acks), or if a task of a submission so cancelled starts later than cancel_ms after that
 * (UNASKED). Nothing but the service's own failures is wrong: all processes, the store and all
 * links are sound.
 */
public final class FailingService {

  private static final int TASKS = 300;
  private static final int FAILS_AFTER_MILLIS = 20;
  private static final int CANCELS = 14;
  private static final int CANCEL_EACH_MILLIS = 2_500;
  private static final String SERVICE_KEY = "key-of-the-service";
  private static final String CHECK_KEY = "key-of-the-checks";

  /** The longest time until the cancels begin; they begin sooner once the store refuses. */
  private static final long LONGEST_MILLIS = 50_000;

  private static final long CALM_MILLIS = 15_000;

  private FailingService() {}

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

  private static String print(int number) {
    return "/checks/" + Callers.id(10 + number);
  }

  private static int play(Stage stage) throws Exception {
    boolean trouble = Stage.trouble();
    stage.work =
        new Stage.Work() {
          @Override
          public long millis(String spec, String task, int run) {
            return switch (spec) {
              case "service" -> trouble ? FAILS_AFTER_MILLIS : 1_000_000;
              case "print" -> 200_000;
              default -> 500;
            };
          }

          @Override
          public String end(String spec, String task, int run) {
            return spec.equals("service") ? "failed" : "done";
          }
        };
    // Until when a task of a cancelled submission may start, by the submission's id.
    Map<String, Long> mayStartUntil = new HashMap<>();
    List<String> unasked = new ArrayList<>();
    TreeMap<Long, long[]> perSecond = new TreeMap<>();
    stage.seen =
        event -> {
          String[] words = event.split(" ");
          if (words.length < 3 || words[0].equals("noted")) {
            return;
          }
          String id = words[2].substring(0, words[2].indexOf('.'));
          boolean start = words[0].equals("start");
          boolean ofService = id.equals(Callers.id(1));
          long[] counts = perSecond.computeIfAbsent(stage.now() / 1000, key -> new long[4]);
          counts[(ofService ? 0 : 2) + (start ? 0 : 1)]++;
          if (!ofService) {
            stage.note("worker: " + event);
          }
          if (start && stage.now() > mayStartUntil.getOrDefault(id, Long.MAX_VALUE)) {
            unasked.add(stage.now() + " ms: " + event);
          }
        };
    stage.begin(
        3,
        8,
        16_000,
        new JsonArray()
            .add(Stage.route("service", "/service/", 1, 4))
            .add(Stage.route("checks", "/checks/", 0, 4)),
        new JsonArray()
            .add(Stage.tenant("one", SERVICE_KEY))
            .add(Stage.tenant("two", CHECK_KEY)));
    Thread.sleep(2_000);
    Callers callers = new Callers(stage);
    for (int number = 0; number < CANCELS; number++) {
      String body = Callers.body("print", Callers.step(2, 100, 200_000));
      stage.wait(callers.handIn(print(number), CHECK_KEY, body));
    }
    String service = Callers.body("service", Callers.step(TASKS, 100, 320).put("Persistent", true));
    stage.wait(callers.handIn("/service/" + Callers.id(1), SERVICE_KEY, service));
    long begun = stage.now();
    while (stage.now() < begun + (trouble ? LONGEST_MILLIS : CALM_MILLIS)
        && stage.store.refusedTooLarge == 0) {
      Thread.sleep(100);
    }
    stage.note(
        "the largest record so far was of " + stage.store.largestRecord
            + " bytes; from here on a check is handed in and a print is cancelled every "
            + CANCEL_EACH_MILLIS + " ms");
    List<Future<Boolean>> cancels = new ArrayList<>();
    for (int number = 0; number < CANCELS; number++) {
      Thread.sleep(CANCEL_EACH_MILLIS);
      String check = Callers.body("check", Callers.step(4, 100, 500));
      callers.handIn("/checks/" + Callers.id(100 + number), CHECK_KEY, check);
      long sent = stage.now();
      String id = Callers.id(10 + number);
      stage.onLoop(
          () -> mayStartUntil.put(id, sent + Stage.ACK_MILLIS + Stage.CANCEL_MILLIS));
      cancels.add(callers.cancel(print(number), CHECK_KEY, sent + Stage.ACK_MILLIS));
    }
    long finish = stage.now() + Stage.FINISH_MILLIS;
    Thread.sleep(Stage.FINISH_MILLIS);
    int unacknowledged = 0;
    for (Future<Boolean> cancel : cancels) {
      unacknowledged += stage.wait(cancel) ? 0 : 1;
    }
    List<String> checks = new ArrayList<>(callers.accepted.keySet());
    checks.removeIf(
        path -> path.startsWith("/service") || path.compareTo("/checks/" + Callers.id(100)) < 0);
    List<Future<String>> states = new ArrayList<>();
    checks.forEach(path -> states.add(callers.ask(path, CHECK_KEY, finish + 3_000)));
    List<String> unfinished = new ArrayList<>();
    for (int index = 0; index < checks.size(); index++) {
      String state = stage.wait(states.get(index));
      if (!state.equals("completed")) {
        unfinished.add(checks.get(index) + " " + (state.isEmpty() ? "no answer" : state));
      }
    }
    stage.note("starts and ends of the service, starts and ends of other work, each second:");
    perSecond.forEach(
        (second, counts) ->
            stage.note(
                "  second " + second + ": " + counts[0] + " " + counts[1] + ", " + counts[2] + " "
                    + counts[3]));
    stage.note(
        "the store has refused " + stage.store.refusedTooLarge
            + " appends with a record over RecordBytes; the largest was of "
            + stage.store.largestRecord + " bytes");
    stage.note(
        callers.notAccepted.size() + " of " + CANCELS + " checks were not accepted in five tries: "
            + callers.notAccepted);
    stage.note(
        unfinished.size() + " of " + checks.size() + " accepted checks are not shown as completed "
            + "finish_s after the traffic: " + unfinished);
    unasked.stream().limit(30).forEach(stage::note);
    stage.note(
        "Acks: " + unacknowledged + " of " + CANCELS + " cancels had no 2xx or 410 after AckMs");
    stage.note(
        "UNASKED: " + unasked.size() + " starts of cancelled submissions later than cancel_ms after"
            + " they had waited AckMs for their ack");
    return unasked.isEmpty() && (unacknowledged < 3 || unacknowledged * 10 <= CANCELS) ? 0 : 1;
  }
}
