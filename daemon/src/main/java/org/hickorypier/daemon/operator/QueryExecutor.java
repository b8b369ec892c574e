package org.hickorypier.daemon.operator;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hickorypier.core.configuration.Configuration;
import org.hickorypier.core.configuration.Key;
import org.hickorypier.core.configuration.Team;
import org.hickorypier.core.model.WorkKey;
import org.hickorypier.language.Statement;
import org.hickorypier.language.Subject;
import org.hickorypier.language.query.QueryEvaluator;
import org.hickorypier.language.result.Cell;
import org.hickorypier.language.result.StatementResult;
import org.hickorypier.language.result.StatementResult.Problem;
import org.hickorypier.language.result.StatementResult.Table;

/** Carries out queries. Belongs to the control thread. */
final class QueryExecutor {

  private static final String OPERATORS = "operators";

  private final Supplier<Configuration> configuration;
  private final FleetView fleet;
  private final WorkExplainer explainer;
  private final QueryEvaluator evaluator = new QueryEvaluator();

  QueryExecutor(Supplier<Configuration> configuration, FleetView fleet, WorkExplainer explainer) {
    this.configuration = configuration;
    this.fleet = fleet;
    this.explainer = explainer;
  }

  Uni<StatementResult> execute(Statement.Query query) {
    if (query instanceof Statement.Show show) {
      return rows(show.subject()).map(all -> evaluator.show(show, all.cells(), all.missing()));
    } else if (query instanceof Statement.Count count) {
      return rows(count.subject()).map(all -> evaluator.count(count, all.cells(), all.missing()));
    } else if (query instanceof Statement.Explain explain) {
      return explain(new WorkKey(explain.team(), explain.requestId()));
    }
    throw new IllegalStateException("query without an execution: " + query);
  }

  private Uni<StatementResult> explain(WorkKey key) {
    return explainer
        .explain(key)
        .flatMap(sentence -> sentence.isPresent() ? Uni.createFrom().item(sentence) : running(key))
        .map(sentence -> explained(key, sentence));
  }

  // Work that runs waits nowhere, so no instance explains it. "Nobody knows it" would be wrong, and
  // an operator might take it for lost.
  private Uni<Optional<String>> running(WorkKey key) {
    return fleet
        .running()
        .map(
            all ->
                all.rows().stream()
                    .filter(row -> row.key().equals(key))
                    .map(row -> "it does not wait, it runs on " + row.worker())
                    .findFirst());
  }

  private static StatementResult explained(WorkKey key, Optional<String> sentence) {
    if (sentence.isEmpty()) {
      return new Problem("no instance knows work " + key, StatementResult.NO_COLUMN);
    }
    List<Cell> row = List.of(Cell.of(key.toString()), Cell.of(sentence.get()));
    return new Table(List.of("work", "explanation"), List.of(row), List.of());
  }

  private Uni<Rows> rows(Subject subject) {
    return switch (subject) {
      case RUNNING -> fleet.running().map(Rows::of);
      case WAITING -> fleet.waiting().map(Rows::of);
      case REFUSED -> fleet.refused().map(Rows::of);
      case WORKERS -> fleet.workers().map(Rows::of);
      case INSTANCES -> fleet.instances().map(Rows::of);
      case TEAMS -> teams();
      case KEYS -> Uni.createFrom().item(new Rows(keys(), List.of()));
    };
  }

  private Uni<Rows> teams() {
    List<Team> teams =
        configuration.get().teams().values().stream()
            .sorted(Comparator.comparing(Team::name))
            .toList();
    return Uni.combine()
        .all()
        .unis(fleet.running(), fleet.waiting())
        .with((running, waiting) -> teams(teams, running, waiting));
  }

  private static Rows teams(
      List<Team> teams, FleetRows<RunningRow> running, FleetRows<WaitingRow> waiting) {
    Map<String, Long> runningOf = count(running.rows(), row -> row.key().team());
    Map<String, Long> waitingOf = count(waiting.rows(), row -> row.key().team());
    List<List<Cell>> cells = new ArrayList<>();
    for (Team team : teams) {
      cells.add(
          List.of(
              Cell.of(team.name()),
              Cell.of(team.share()),
              Cell.of(team.upperLimit()),
              Cell.of(runningOf.getOrDefault(team.name(), 0L)),
              Cell.of(waitingOf.getOrDefault(team.name(), 0L)),
              Cell.of(team.revision())));
    }
    TreeSet<String> missing = new TreeSet<>(running.missing());
    missing.addAll(waiting.missing());
    return new Rows(cells, List.copyOf(missing));
  }

  private static <T> Map<String, Long> count(List<T> rows, Function<T, String> group) {
    return rows.stream().collect(Collectors.groupingBy(group, Collectors.counting()));
  }

  private List<List<Cell>> keys() {
    return configuration.get().keys().values().stream()
        .sorted(Comparator.comparing(Key::keyId))
        .map(QueryExecutor::keyCells)
        .toList();
  }

  private static List<Cell> keyCells(Key key) {
    return List.of(
        Cell.of(key.keyId()),
        Cell.of(key.team().isEmpty() ? OPERATORS : key.team()),
        Cell.of(key.withdrawn() ? "withdrawn" : "in-force"),
        Cell.of(key.revision()));
  }

  private record Rows(List<List<Cell>> cells, List<String> missing) {

    static Rows of(FleetRows<? extends TableRow> rows) {
      return new Rows(rows.rows().stream().map(TableRow::cells).toList(), rows.missing());
    }
  }
}
