package org.hickorypier.language;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/**
 * Prints a statement so that parsing it gives the same statement again.
 *
 * <p>Stateless, so thread safe.
 */
public final class StatementPrinter {

  /**
   * Prints a statement.
   *
   * @param statement the statement
   * @return its text
   */
  public String print(Statement statement) {
    if (statement instanceof Statement.Show show) {
      return printShow(show);
    } else if (statement instanceof Statement.Count count) {
      return printCount(count);
    } else if (statement instanceof Statement.Explain explain) {
      return "explain " + quote(explain.team()) + "/" + quote(explain.requestId());
    } else if (statement instanceof Statement.Cancel cancel) {
      return "cancel " + quote(cancel.team()) + "/" + quote(cancel.requestId());
    } else {
      return printConfiguration(statement);
    }
  }

  private static String printShow(Statement.Show show) {
    StringBuilder text = new StringBuilder("show ").append(show.subject().word());
    text.append(printConditions(show.conditions()));
    show.ordering()
        .ifPresent(
            ordering ->
                text.append(" order by ")
                    .append(ordering.column().name())
                    .append(ordering.descending() ? " desc" : ""));
    show.limit().ifPresent(limit -> text.append(" limit ").append(limit));
    return text.toString();
  }

  private static String printCount(Statement.Count count) {
    String groups = count.groups().stream().map(Column::name).collect(Collectors.joining(", "));
    return "count "
        + count.subject().word()
        + (groups.isEmpty() ? "" : " by " + groups)
        + printConditions(count.conditions());
  }

  private static String printConditions(List<Condition> conditions) {
    if (conditions.isEmpty()) {
      return "";
    }
    return conditions.stream()
        .map(StatementPrinter::printCondition)
        .collect(Collectors.joining(" and ", " where ", ""));
  }

  private static String printCondition(Condition condition) {
    boolean plain =
        condition.column().kind() == ColumnKind.NUMBER || !condition.column().values().isEmpty();
    return condition.column().name()
        + " "
        + condition.comparison().symbol()
        + " "
        + (plain ? condition.value() : quote(condition.value()));
  }

  private static String printConfiguration(Statement statement) {
    if (statement instanceof Statement.CreateTeam create) {
      String share = DecimalNumber.print(create.share());
      return "create team "
          + quote(create.team())
          + " share "
          + share
          + " limit "
          + create.upperLimit();
    } else if (statement instanceof Statement.SetTeam set) {
      return printSet(set);
    } else if (statement instanceof Statement.GiveKey give) {
      return "give key to " + give.team().map(team -> "team " + quote(team)).orElse("operators");
    } else if (statement instanceof Statement.WithdrawKey withdraw) {
      return "withdraw key " + quote(withdraw.keyId()) + printBasis(withdraw.basis());
    } else if (statement instanceof Statement.Drain drain) {
      String verb = drain.draining() ? "drain " : "undrain ";
      return verb + drain.target().word() + " " + quote(drain.name()) + printBasis(drain.basis());
    }
    throw new IllegalStateException("statement without a text: " + statement);
  }

  private static String printSet(Statement.SetTeam set) {
    StringBuilder text = new StringBuilder("set team ").append(quote(set.team()));
    set.share().ifPresent(share -> text.append(" share ").append(DecimalNumber.print(share)));
    set.upperLimit().ifPresent(limit -> text.append(" limit ").append(limit));
    return text.append(printBasis(set.basis())).toString();
  }

  private static String printBasis(OptionalLong basis) {
    return basis.isPresent() ? " at revision " + basis.getAsLong() : "";
  }

  private static String quote(String name) {
    boolean plain = !name.isEmpty() && name.codePoints().allMatch(Lexer::isWordCharacter);
    return plain ? name : "'" + name.replace("'", "''") + "'";
  }
}
