package org.hickorypier.language;

import java.util.List;

/**
 * Parses one statement of the operators' language, by recursive descent over the grammar of
 * docs/OPERATORS.md.
 *
 * <p>Keywords stand in any case of letters; names keep theirs. A quoted name is never a keyword.
 * Stateless, so thread safe.
 */
public final class StatementParser {

  /** Longer texts are no statements of an operator; the limit bounds the work for one of them. */
  public static final int LONGEST_STATEMENT = 4_096;

  static final List<String> VERBS =
      List.of(
          "show",
          "count",
          "explain",
          "create",
          "set",
          "give",
          "withdraw",
          "drain",
          "undrain",
          "cancel");

  /**
   * Parses a statement.
   *
   * @param text the text, one statement, with or without a comment behind it
   * @return the statement
   * @throws StatementSyntaxException if the text is no statement
   */
  public Statement parse(String text) throws StatementSyntaxException {
    if (text.length() > LONGEST_STATEMENT) {
      throw new StatementSyntaxException(
          1,
          "a statement of at most " + LONGEST_STATEMENT + " characters",
          text.length() + " characters");
    }
    TokenReader reader = new TokenReader(new Lexer(text).tokens());
    String verb = reader.oneOf(VERBS);
    QueryParser queries = new QueryParser(reader);
    ChangeParser changes = new ChangeParser(reader);
    return switch (verb) {
      case "show" -> queries.show();
      case "count" -> queries.count();
      case "explain" -> queries.explain();
      case "create" -> changes.create();
      case "set" -> changes.set();
      case "give" -> changes.give();
      case "withdraw" -> changes.withdraw();
      case "drain" -> changes.drain(true);
      case "undrain" -> changes.drain(false);
      case "cancel" -> changes.cancel();
      default -> throw new IllegalStateException("verb without a rule: " + verb);
    };
  }
}
