package org.hickorypier.language;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class StatementPropertiesTest {

  private static final String SEED = "20261202";

  private final StatementParser parser = new StatementParser();
  private final StatementPrinter printer = new StatementPrinter();

  @Property(seed = SEED, tries = 2_000)
  void parsesWhatItPrinted(@ForAll("statements") Statement statement)
      throws StatementSyntaxException {
    assertThat(parser.parse(printer.print(statement))).isEqualTo(statement);
  }

  @Property(seed = SEED, tries = 2_000)
  void textsAreStatementsOrErrorsWithTheirPlace(@ForAll("texts") String text) {
    try {
      assertThat(parser.parse(text)).isNotNull();
    } catch (StatementSyntaxException error) {
      assertThat(error.column()).isBetween(1, text.codePointCount(0, text.length()) + 1);
      assertThat(error.expected()).isNotEmpty();
    }
  }

  @Property(seed = SEED, tries = 1_000)
  void damagedStatementsAreStatementsOrErrors(
      @ForAll("statements") Statement statement, @ForAll("damage") Damage damage) {
    textsAreStatementsOrErrorsWithTheirPlace(damage.applyTo(printer.print(statement)));
  }

  @Provide
  Arbitrary<String> texts() {
    Arbitrary<String> words =
        Arbitraries.of(
            "show",
            "count",
            "set",
            "team",
            "where",
            "order",
            "by",
            "limit",
            "at",
            "=",
            "!",
            "/",
            ",",
            "'",
            "\"",
            "#",
            "-1",
            "9999999999999999999999",
            "running",
            "class",
            "\t",
            "\0",
            String.valueOf(Character.MIN_HIGH_SURROGATE),
            "ñ");
    Arbitrary<String> sentences = words.list().ofMaxSize(12).map(list -> String.join(" ", list));
    return Arbitraries.oneOf(Arbitraries.strings().all().ofMaxLength(60), sentences);
  }

  @Provide
  Arbitrary<Damage> damage() {
    return Combinators.combine(
            Arbitraries.doubles().between(0, 0.99), Arbitraries.strings().all().ofMaxLength(3))
        .as(Damage::new);
  }

  @Provide
  Arbitrary<Statement> statements() {
    return Arbitraries.oneOf(shows(), counts(), changes(), worksAndKeys());
  }

  private static Arbitrary<Statement> shows() {
    return Arbitraries.of(Subject.class)
        .flatMap(
            subject ->
                Combinators.combine(
                        conditions(subject).list().ofMaxSize(4),
                        orderings(subject).optional(),
                        Arbitraries.integers().between(1, 1_000_000).optional())
                    .as(
                        (conditions, ordering, limit) ->
                            new Statement.Show(
                                subject,
                                conditions,
                                ordering,
                                limit.map(OptionalInt::of).orElseGet(OptionalInt::empty))));
  }

  private static Arbitrary<Statement> counts() {
    return Arbitraries.of(Subject.class)
        .flatMap(
            subject ->
                Combinators.combine(
                        Arbitraries.of(subject.columns()).list().ofMaxSize(3),
                        conditions(subject).list().ofMaxSize(3))
                    .as((groups, conditions) -> new Statement.Count(subject, groups, conditions)));
  }

  private static Arbitrary<Statement> changes() {
    Arbitrary<Statement> creates =
        Combinators.combine(names(), shares(), limits()).as(Statement.CreateTeam::new);
    Arbitrary<Statement> sets =
        Combinators.combine(names(), shares(), limits(), Arbitraries.integers().between(0, 2))
            .flatAs(
                (team, share, limit, which) ->
                    bases().map(basis -> set(team, share, limit, which, basis)));
    Arbitrary<Statement> drains =
        Combinators.combine(
                Arbitraries.of(DrainTarget.class), names(), Arbitraries.of(true, false), bases())
            .as(Statement.Drain::new);
    return Arbitraries.oneOf(creates, sets, drains);
  }

  private static Statement set(
      String team, double share, int limit, int which, OptionalLong basis) {
    OptionalDouble newShare = which == 0 ? OptionalDouble.empty() : OptionalDouble.of(share);
    OptionalInt newLimit = which == 1 ? OptionalInt.empty() : OptionalInt.of(limit);
    return new Statement.SetTeam(team, newShare, newLimit, basis);
  }

  private static Arbitrary<Statement> worksAndKeys() {
    Arbitrary<Statement> gifts = names().optional().map(Statement.GiveKey::new);
    Arbitrary<Statement> withdrawals =
        Combinators.combine(names(), bases()).as(Statement.WithdrawKey::new);
    Arbitrary<Statement> explanations =
        Combinators.combine(names(), names()).as(Statement.Explain::new);
    Arbitrary<Statement> cancellations =
        Combinators.combine(names(), names()).as(Statement.Cancel::new);
    return Arbitraries.oneOf(gifts, withdrawals, explanations, cancellations);
  }

  private static Arbitrary<Condition> conditions(Subject subject) {
    return Arbitraries.of(subject.columns())
        .flatMap(
            column ->
                Combinators.combine(comparisons(column), values(column))
                    .as((comparison, value) -> new Condition(column, comparison, value)));
  }

  private static Arbitrary<Comparison> comparisons(Column column) {
    return column.kind() == ColumnKind.NUMBER
        ? Arbitraries.of(Comparison.class)
        : Arbitraries.of(Comparison.EQUAL, Comparison.NOT_EQUAL);
  }

  private static Arbitrary<String> values(Column column) {
    if (!column.values().isEmpty()) {
      return Arbitraries.of(column.values());
    }
    return column.kind() == ColumnKind.NUMBER
        ? Arbitraries.integers().map(String::valueOf)
        : names();
  }

  private static Arbitrary<Ordering> orderings(Subject subject) {
    return Combinators.combine(Arbitraries.of(subject.columns()), Arbitraries.of(true, false))
        .as(Ordering::new);
  }

  /** Names of any printable characters, among them quotes, keywords and blanks. */
  private static Arbitrary<String> names() {
    Arbitrary<String> any =
        Arbitraries.strings()
            .all()
            .ofMinLength(1)
            .ofMaxLength(20)
            .filter(name -> name.chars().noneMatch(Character::isISOControl));
    Stream<String> awkward =
        Stream.of("show", "at", "''", "'", "\"'\"", "#", " ", "a/b", "12", "-", "o'neill", "ñandú");
    return Arbitraries.oneOf(any, Arbitraries.of(awkward.toList()));
  }

  private static Arbitrary<Double> shares() {
    return Arbitraries.integers().between(1, 1_000_000_000).map(milli -> milli / 1_000.0);
  }

  private static Arbitrary<Integer> limits() {
    return Arbitraries.integers().between(0, 10_000_000);
  }

  private static Arbitrary<OptionalLong> bases() {
    return Arbitraries.longs()
        .between(0, 1_000_000_000_000L)
        .optional()
        .map(basis -> basis.map(OptionalLong::of).orElseGet(OptionalLong::empty));
  }

  /** Puts a text in the place of one character. */
  record Damage(double place, String text) {

    String applyTo(String statement) {
      int index = (int) (place * statement.length());
      return statement.substring(0, index) + text + statement.substring(index + 1);
    }
  }
}
