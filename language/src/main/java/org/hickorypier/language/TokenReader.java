package org.hickorypier.language;

import java.util.List;

/** Reads tokens one after another, with the errors that go with them. Not thread safe. */
final class TokenReader {

  /** Longer names would not fit into tables and log records. */
  private static final int LONGEST_NAME = 128;

  private final List<Token> tokens;
  private int position;

  TokenReader(List<Token> tokens) {
    this.tokens = tokens;
  }

  Token next() {
    return tokens.get(position);
  }

  boolean nextIs(String keyword) {
    return next().is(keyword);
  }

  /** Takes the keyword if it comes next. */
  boolean take(String keyword) {
    boolean found = nextIs(keyword);
    if (found) {
      position++;
    }
    return found;
  }

  boolean takeSymbol(String symbol) {
    boolean found = next().isSymbol(symbol);
    if (found) {
      position++;
    }
    return found;
  }

  void expect(String keyword) throws StatementSyntaxException {
    if (!take(keyword)) {
      throw expected("'" + keyword + "'");
    }
  }

  void expectSymbol(String symbol) throws StatementSyntaxException {
    if (!takeSymbol(symbol)) {
      throw expected("'" + symbol + "'");
    }
  }

  String name(String what) throws StatementSyntaxException {
    Token token = next();
    if (!token.isName()) {
      throw expected(what);
    }
    if (token.text().length() > LONGEST_NAME) {
      throw expected(what + " of at most " + LONGEST_NAME + " characters");
    }
    position++;
    return token.text();
  }

  /** Takes one of the words, in any case of letters, and returns it as it stands in the list. */
  String oneOf(List<String> words) throws StatementSyntaxException {
    for (String word : words) {
      if (take(word)) {
        return word;
      }
    }
    throw expected(
        words.size() == 1 ? "'" + words.get(0) + "'" : "one of " + String.join(", ", words));
  }

  long wholeNumber(long least, long most) throws StatementSyntaxException {
    String text = next().kind() == TokenKind.WORD ? next().text() : "";
    try {
      long number = Long.parseLong(text);
      if (number >= least && number <= most) {
        position++;
        return number;
      }
    } catch (NumberFormatException error) {
      // Reported below, with the range.
    }
    throw expected("a whole number from " + least + " to " + most);
  }

  void expectEnd(String expectedOtherwise) throws StatementSyntaxException {
    if (next().kind() != TokenKind.END) {
      throw expected(expectedOtherwise);
    }
  }

  void skip() {
    position++;
  }

  StatementSyntaxException expected(String what) {
    return new StatementSyntaxException(next().column(), what, next().describe());
  }
}
